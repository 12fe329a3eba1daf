/** Death of a backend server, as reported by one entry. */
export type ReportedDeath = Readonly<{
	backend: string;
	incarnation: number;
	dataCentre: string;
	rack?: string;
	/** Digests of the requests that the entry ran on it. */
	digests: readonly string[];
	/** The same digests by the parts of the prompts that the requests have in common with others. */
	parts?: PartDigests;
	/** Time of the death, if it is known better than by its report. */
	at?: number;
	/** Time at which the first run of a digest that ended with it was sent, by digest. */
	sentAt?: Readonly<Record<string, number>>;
}>;

/** Digests of the requests that have a part in their prompts, by the part's key. */
export type PartDigests = Readonly<Record<string, readonly string[]>>;

/** Events of the quarantine. `now` is in milliseconds and never decreases. */
export type QuarantineEvent =
	| {
			kind: 'deaths-reported';
			deaths: readonly ReportedDeath[];
			/** Digests of suspects that completed. */
			completed: readonly string[];
			/**
			 * Times at which a run was past its start, by digest or part; a death until
			 * then doesn't count against it.
			 */
			sound?: Readonly<Record<string, number>>;
			now: number;
	  }
	/** Convictions of another replica, with their times. */
	| {
			kind: 'convictions-received';
			convicted: Readonly<Record<string, number>>;
			now: number;
	  }
	| {kind: 'ticked'; now: number};

/** One death, merged from the reports of several entries. */
export type Death = Readonly<{
	backend: string;
	incarnation: number;
	dataCentre: string;
	rack?: string;
	digests: readonly string[];
	parts?: PartDigests;
	reportedAt: number;
	/** Time at which the first run of a digest that ended with it was sent, by digest. */
	sentAt?: Readonly<Record<string, number>>;
	/** `pending` until the window for related deaths has passed. */
	verdict: 'pending' | 'struck' | 'forgiven';
}>;

/** Strikes of one digest or part. */
export type StrikeRecord = Readonly<{
	/** Number of deaths that count against it. */
	strikes: number;
	lastAt: number;
	/** Times of these deaths. */
	deathTimes?: readonly number[];
	/** Up to two different requests with a part on these deaths. */
	requests?: readonly string[];
	/** Last time at which a run was past its start, before these deaths. */
	soundAt?: number;
}>;

/** Rules that protect innocent requests. Only the specification and tests disable them. */
export type QuarantineGuards = Readonly<{
	/** Simultaneous deaths in one data centre count only against digests that ran on several of the servers. */
	relatedDeaths: boolean;
	/** Only a digest with `lead` more strikes than all others of its deaths is convicted. */
	standsOut: boolean;
	/** Several reports of the same death count once. */
	mergeReports: boolean;
	/** Deaths at the same moment count once against a digest that ran on all of them. */
	countEvents: boolean;
	/** A suspect that completes loses its strikes. */
	clearCompleted: boolean;
}>;

/** Options of the quarantine. */
export type QuarantineOptions = Readonly<{
	/** Time within which deaths in one data centre are related. */
	windowMs: number;
	/**
	 * Time within which deaths count once against a digest that runs on all of them,
	 * unless it was sent on from one to the next.
	 */
	eventMs: number;
	/** Number of strikes for a conviction. */
	strikes: number;
	/** Number of strikes by which a convicted digest must exceed all others of its deaths. */
	lead: number;
	suspectRetentionMs: number;
	convictionRetentionMs: number;
	/** Time for which deaths are kept, so that delayed reports can be merged; by default some windows. */
	deathRetentionMs?: number;
	/**
	 * Number of strikes for the conviction of a part without a lead, and for one
	 * with a lead that has run soundly before.
	 */
	uncertainStrikes?: number;
	/** Time from the first of these strikes in which a sound run would be reported. */
	soundReportMs?: number;
	/** Retention of a conviction without a lead; one more strike renews it. */
	uncertainRetentionMs?: number;
	/** Largest number of records of each kind. */
	maxRecords: number;
	guards: QuarantineGuards;
}>;

/** State of the quarantine; plain data that JSON preserves. */
export type QuarantineState = Readonly<{
	options: QuarantineOptions;
	/** Increases with each change of the summary. */
	version: number;
	now: number;
	deaths: readonly Death[];
	records: Readonly<Record<string, StrikeRecord>>;
	/** Time of conviction by digest. */
	convicted: Readonly<Record<string, number>>;
	/** Parts that are convicted without a lead; `lastAt` is the time of the conviction. */
	uncertain?: Readonly<Record<string, StrikeRecord>>;
}>;

/** Part of the quarantine that entries need. */
export type QuarantineSummary = Readonly<{
	version: number;
	/** Digests that must not share a backend server, in the order of their first deaths. */
	suspects: readonly string[];
	/** The suspect with at least two strikes and more than any other. */
	leading?: string;
	/** Backend servers whose deaths are pending. */
	dead: ReadonlyArray<Readonly<{backend: string; incarnation: number}>>;
	/** Suspects that must not be placed until pending deaths are evaluated, which would convict them. */
	held: readonly string[];
	/** Digests of requests that are refused. */
	convicted: readonly string[];
}>;
