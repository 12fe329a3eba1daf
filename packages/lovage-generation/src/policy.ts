/** What a service optimises for. */
export type ObjectiveKind = 'resume-latency' | 'resource-use';

/** When silence causes a probe, and when failed probes mean that a server is dead. */
export type DetectionPolicy = Readonly<{
	/** Normal silence, as a multiple of the mean gap between chunks. */
	gapFactor: number;
	/** Number of mean deviations added to the normal silence. */
	deviationFactor: number;
	/** Bounds of the silence allowed between chunks, in milliseconds. */
	minimumSilenceMs: number;
	maximumSilenceMs: number;
	/** Allowed silence until a backend server accepts an attempt. */
	acceptMs: number;
	/** Allowed silence before the first token of an attempt. */
	firstTokenMs: number;
	/** Timeout of one probe. */
	probeTimeoutMs: number;
	/** Number of consecutive failed probes after which the server counts as dead. */
	probes: number;
	/** Maximum number of resumes in place without a new token before failing over. */
	stalledResumes: number;
}>;

const RESUME_LATENCY: DetectionPolicy = {
	gapFactor: 4,
	deviationFactor: 4,
	minimumSilenceMs: 300,
	maximumSilenceMs: 1500,
	acceptMs: 400,
	firstTokenMs: 3000,
	probeTimeoutMs: 250,
	probes: 2,
	stalledResumes: 4,
};

const RESOURCE_USE: DetectionPolicy = {
	gapFactor: 8,
	deviationFactor: 8,
	minimumSilenceMs: 1000,
	maximumSilenceMs: 5000,
	acceptMs: 1000,
	firstTokenMs: 8000,
	probeTimeoutMs: 1000,
	probes: 3,
	stalledResumes: 8,
};

/** Returns the detection policy of an objective. */
export function getDetectionPolicy(objective: ObjectiveKind): DetectionPolicy {
	switch (objective) {
		case 'resume-latency': {
			return RESUME_LATENCY;
		}

		case 'resource-use': {
			return RESOURCE_USE;
		}
	}
}
