/** A backend server that a request could be placed on. */
export type Candidate = Readonly<{
	id: string;
	dataCentre: string;
	state: 'serving' | 'leaving';
	incarnation: number;
	/** Largest number of concurrent generations or calls. */
	capacity: number;
	role?: string;
	models: readonly string[];
	/** Number of this entry's requests on it now. */
	inFlight: number;
	/** Its last load report, which may be out of date. */
	report?: LoadReport;
	/** Digests of prompt prefixes that it has probably cached. */
	cachedPrefixes: ReadonlySet<string>;
	/** Digests of suspects that this entry runs on it, see `PlacementRequest.suspects`. */
	suspects: readonly string[];
}>;

/** Load of a backend server at the time of a report. */
export type LoadReport = Readonly<{
	running: number;
	waiting: number;
	/** Number of this entry's requests on it when the report arrived. */
	inFlightAtReport: number;
}>;

/** A request that needs a backend server. */
export type PlacementRequest = Readonly<{
	/** Data centre of this entry. */
	dataCentre: string;
	model?: string;
	role?: string;
	/** Digests of the prompt's prefixes, shortest first. */
	prefixes: readonly string[];
	/** Ids of backend servers that failed or refused this request. */
	excluded: readonly string[];
	/** Data centres where this request failed, in order; others are preferred. */
	failedDataCentres?: readonly string[];
	/** Digest of this request if the quarantine suspects it of crashing backend servers. */
	suspect?: string;
	/** Digests of all suspects, in an order that is the same on all entries; new suspects don't change it. */
	suspects?: readonly string[];
	/** Digest of the most suspected request, which is separated from all other suspects. */
	leading?: string;
}>;

/** Weights of load, cached prefixes and distance. */
export type PlacementPolicy = Readonly<{
	/** Number of randomly sampled backend servers compared per request. */
	sampleSize: number;
	/** Load share that a fully cached prompt offsets. */
	prefixWeight: number;
	/** Highest load share at which a cached prefix is considered. */
	prefixLoadLimit: number;
	/** Load share that is added for another data centre. */
	distanceWeight: number;
}>;

/** Weights of services without their own policy. */
export const DEFAULT_PLACEMENT_POLICY: PlacementPolicy = {
	sampleSize: 3,
	prefixWeight: 0.25,
	prefixLoadLimit: 0.8,
	distanceWeight: 0.02,
};
