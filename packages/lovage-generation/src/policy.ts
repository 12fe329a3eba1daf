/** What a service's objective weighs more. */
export type ObjectiveKind = 'resume-latency' | 'resource-use';

/** When silence becomes a probe, and failed probes a death. */
export type DetectionPolicy = Readonly<{
	/** Multiple of the mean gap between chunks that is still normal. */
	gapFactor: number;
	/** Mean deviations added on top. */
	deviationFactor: number;
	/** Bounds of the allowed silence, in milliseconds. */
	minimumSilenceMs: number;
	maximumSilenceMs: number;
	/** Allowed silence until a backend server accepts an attempt. */
	acceptMs: number;
	/** Allowed silence before the first token of an attempt. */
	firstTokenMs: number;
	/** How long one probe may take. */
	probeTimeoutMs: number;
	/** Failed probes in a row that mean death. */
	probes: number;
	/** Resumes in place without a new token before another server is chosen. */
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
