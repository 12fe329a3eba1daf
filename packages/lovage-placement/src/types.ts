/** A backend server as placement sees it. */
export type Candidate = Readonly<{
	id: string;
	dataCentre: string;
	state: 'serving' | 'leaving';
	incarnation: number;
	/** Generations or calls that run at the same time. */
	capacity: number;
	role?: string;
	models: readonly string[];
	/** Work of this entry on it now. */
	inFlight: number;
	/** Its last load report, which lags. */
	report?: LoadReport;
	/** Prefixes that its cache is thought to hold. */
	cachedPrefixes: ReadonlySet<string>;
	/** Digests of suspects that this entry runs on it. */
	suspects: readonly string[];
}>;

/** Load of a backend server at the time of its report. */
export type LoadReport = Readonly<{
	running: number;
	waiting: number;
	/** Work of this entry that was on it when the report came. */
	inFlightAtReport: number;
}>;

/** What is to be placed. */
export type PlacementRequest = Readonly<{
	/** Data centre of the entry that asks. */
	dataCentre: string;
	model?: string;
	role?: string;
	/** Digests of the prompt's prefixes, shortest first. */
	prefixes: readonly string[];
	/** Backend servers that lost or refused this work. */
	excluded: readonly string[];
	/** Data centres where this work was lost: others go first. */
	failedDataCentres?: readonly string[];
	/** Digest of the request if it is a suspect of the quarantine. */
	suspect?: string;
	/** All suspects, in an order that entries share and that new ones don't change. */
	suspects?: readonly string[];
	/** The suspect that is kept apart from all others first. */
	leading?: string;
}>;

/** How load, cache and distance weigh against each other. */
export type PlacementPolicy = Readonly<{
	/** Backend servers compared for one choice. */
	sampleSize: number;
	/** Load share that a fully cached prompt makes up for. */
	prefixWeight: number;
	/** Highest load share at which a cached prefix still counts. */
	prefixLoadLimit: number;
	/** Load share that another data centre costs. */
	distanceWeight: number;
}>;

/** Weights that services use unless told otherwise. */
export const DEFAULT_PLACEMENT_POLICY: PlacementPolicy = {
	sampleSize: 3,
	prefixWeight: 0.25,
	prefixLoadLimit: 0.8,
	distanceWeight: 0.02,
};
