/** A backend server that died, as one entry saw it. */
export type ReportedDeath = Readonly<{
	backend: string;
	incarnation: number;
	dataCentre: string;
	rack?: string;
	/** Digests of the requests that this entry ran on it. */
	digests: readonly string[];
}>;

/** Events of the quarantine. `now` never goes back; in milliseconds. */
export type QuarantineEvent =
	| {
			kind: 'deaths-reported';
			deaths: readonly ReportedDeath[];
			/** Suspects that ran to their end. */
			completed: readonly string[];
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
	reportedAt: number;
	/** `pending` until the window for related deaths has passed. */
	verdict: 'pending' | 'struck' | 'forgiven';
}>;

/** Deaths that count against one digest. */
export type StrikeRecord = Readonly<{
	/** Unrelated deaths of backend servers that ran it. */
	strikes: number;
	lastAt: number;
}>;

/** Protecting rules; only the specification and tests switch one off. */
export type QuarantineGuards = Readonly<{
	/** Deaths of one rack or data centre at one time strike nobody. */
	relatedDeaths: boolean;
	/** Convicts only a digest that leads the others on its deaths. */
	standsOut: boolean;
	/** Reports of one death count once. */
	mergeReports: boolean;
	/** A suspect that ran to its end is cleared. */
	clearCompleted: boolean;
}>;

/** Settings of the quarantine. */
export type QuarantineOptions = Readonly<{
	/** Deaths in one place within this time are one event. */
	windowMs: number;
	/** Deaths that convict. */
	strikes: number;
	/** Deaths by which a convicted digest leads the others on its deaths. */
	lead: number;
	suspectRetentionMs: number;
	convictionRetentionMs: number;
	/** Records of each kind that are kept at most. */
	maxRecords: number;
	guards: QuarantineGuards;
}>;

/** State of the quarantine; plain data that JSON carries unchanged. */
export type QuarantineState = Readonly<{
	options: QuarantineOptions;
	/** Grows with each change of the view. */
	version: number;
	now: number;
	deaths: readonly Death[];
	records: Readonly<Record<string, StrikeRecord>>;
	/** Digest to the time of the conviction. */
	convicted: Readonly<Record<string, number>>;
}>;

/** What entries need to know of the quarantine. */
export type QuarantineSummary = Readonly<{
	version: number;
	/** To be kept apart from each other, in the order of their first deaths. */
	suspects: readonly string[];
	/** The one suspect with more strikes than any other, and with two or more. */
	leading?: string;
	/** Backend servers whose deaths are not judged yet. */
	dead: ReadonlyArray<Readonly<{backend: string; incarnation: number}>>;
	/** Suspects not to be placed until the last death is judged. */
	held: readonly string[];
	/** Refused at once. */
	convicted: readonly string[];
}>;
