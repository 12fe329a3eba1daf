import {
	ALL_GUARDS as ADMISSION_GUARDS,
	type AdmissionGuards,
} from '@lovagevalve/admission';
import {
	ALL_GUARDS as GENERATION_GUARDS,
	getDetectionPolicy,
	type DetectionPolicy,
	type GenerationGuards,
} from '@lovagevalve/generation';
import {
	DEFAULT_PLACEMENT_POLICY,
	type PlacementPolicy,
} from '@lovagevalve/placement';

/** A set of policies to measure. */
export type Variant = Readonly<{
	name: string;
	detection: DetectionPolicy;
	/** Whether the variant is defined by its detection policy. */
	hasOwnDetection: boolean;
	generationGuards: GenerationGuards;
	admissionGuards: AdmissionGuards;
	placement: PlacementPolicy;
	/**
	 * Whether placement counts requests that the entry sent since the last load
	 * report.
	 */
	usesOwnCounts: boolean;
}>;

const RESUME_LATENCY_POLICY = getDetectionPolicy('resume-latency');
const RESOURCE_USE_POLICY = getDetectionPolicy('resource-use');
const FIXED_TIMEOUT_MS = 2000;
/**
 * Sample size larger than any deployment, so that all candidates are compared.
 */
const SAMPLE_ALL_CANDIDATES = 1000;

function createVariant(name: string, change: Partial<Variant> = {}): Variant {
	return {
		name,
		detection: RESUME_LATENCY_POLICY,
		hasOwnDetection: false,
		generationGuards: GENERATION_GUARDS,
		admissionGuards: ADMISSION_GUARDS,
		placement: DEFAULT_PLACEMENT_POLICY,
		usesOwnCounts: true,
		...change,
	};
}

function interpolatePolicies(share: number): DetectionPolicy {
	const interpolate = (key: keyof DetectionPolicy) =>
		RESUME_LATENCY_POLICY[key] +
		(RESOURCE_USE_POLICY[key] - RESUME_LATENCY_POLICY[key]) * share;
	return {
		gapFactor: interpolate('gapFactor'),
		deviationFactor: interpolate('deviationFactor'),
		minimumSilenceMs: interpolate('minimumSilenceMs'),
		maximumSilenceMs: interpolate('maximumSilenceMs'),
		acceptMs: interpolate('acceptMs'),
		firstTokenMs: interpolate('firstTokenMs'),
		probeTimeoutMs: interpolate('probeTimeoutMs'),
		probes: Math.round(interpolate('probes')),
		stalledResumes: Math.round(interpolate('stalledResumes')),
	};
}

/** The two objectives and two interpolations between them. */
export const OBJECTIVES: readonly Variant[] = [
	createVariant('resume-latency'),
	createVariant('between 1/3', {detection: interpolatePolicies(1 / 3)}),
	createVariant('between 2/3', {detection: interpolatePolicies(2 / 3)}),
	createVariant('resource-use', {detection: RESOURCE_USE_POLICY}),
];

/** Baselines that the objectives are compared with. */
export const BASELINES: readonly Variant[] = [
	createVariant('restart', {
		generationGuards: {...GENERATION_GUARDS, prefixOnResume: false},
	}),
	createVariant('fixed time-out', {
		hasOwnDetection: true,
		detection: {
			...RESUME_LATENCY_POLICY,
			minimumSilenceMs: FIXED_TIMEOUT_MS,
			maximumSilenceMs: FIXED_TIMEOUT_MS,
		},
		generationGuards: {...GENERATION_GUARDS, probeBeforeDeath: false},
	}),
	createVariant('random place', {
		placement: {...DEFAULT_PLACEMENT_POLICY, sampleSize: 1, prefixWeight: 0},
	}),
	createVariant('least reported', {
		placement: {
			...DEFAULT_PLACEMENT_POLICY,
			sampleSize: SAMPLE_ALL_CANDIDATES,
			prefixWeight: 0,
		},
		usesOwnCounts: false,
	}),
	createVariant('no retry budget', {
		admissionGuards: {...ADMISSION_GUARDS, retryBudget: false},
	}),
	createVariant('no shares', {
		admissionGuards: {...ADMISSION_GUARDS, fairShares: false},
	}),
];
