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

/** One set of policies to measure. */
export type Variant = Readonly<{
	name: string;
	detection: DetectionPolicy;
	/** Whether the detection is what makes the variant. */
	ownDetection: boolean;
	generationGuards: GenerationGuards;
	admissionGuards: AdmissionGuards;
	placement: PlacementPolicy;
	/** Whether placement sees its own work since the last report. */
	ownCounts: boolean;
}>;

const FAST = getDetectionPolicy('resume-latency');
const FRUGAL = getDetectionPolicy('resource-use');
const FIXED_TIMEOUT_MS = 2000;
const ALL_CANDIDATES = 1000;

function create(name: string, change: Partial<Variant> = {}): Variant {
	return {
		name,
		detection: FAST,
		ownDetection: false,
		generationGuards: GENERATION_GUARDS,
		admissionGuards: ADMISSION_GUARDS,
		placement: DEFAULT_PLACEMENT_POLICY,
		ownCounts: true,
		...change,
	};
}

function blend(share: number): DetectionPolicy {
	const mix = (key: keyof DetectionPolicy) =>
		FAST[key] + (FRUGAL[key] - FAST[key]) * share;
	return {
		gapFactor: mix('gapFactor'),
		deviationFactor: mix('deviationFactor'),
		minimumSilenceMs: mix('minimumSilenceMs'),
		maximumSilenceMs: mix('maximumSilenceMs'),
		acceptMs: mix('acceptMs'),
		firstTokenMs: mix('firstTokenMs'),
		probeTimeoutMs: mix('probeTimeoutMs'),
		probes: Math.round(mix('probes')),
		stalledResumes: Math.round(mix('stalledResumes')),
	};
}

/** The two objectives and the curve between them. */
export const OBJECTIVES: readonly Variant[] = [
	create('resume-latency'),
	create('between 1/3', {detection: blend(1 / 3)}),
	create('between 2/3', {detection: blend(2 / 3)}),
	create('resource-use', {detection: FRUGAL}),
];

/** What the objectives are compared with. */
export const BASELINES: readonly Variant[] = [
	create('restart', {
		generationGuards: {...GENERATION_GUARDS, prefixOnResume: false},
	}),
	create('fixed time-out', {
		ownDetection: true,
		detection: {
			...FAST,
			minimumSilenceMs: FIXED_TIMEOUT_MS,
			maximumSilenceMs: FIXED_TIMEOUT_MS,
		},
		generationGuards: {...GENERATION_GUARDS, probeBeforeDeath: false},
	}),
	create('random place', {
		placement: {...DEFAULT_PLACEMENT_POLICY, sampleSize: 1, prefixWeight: 0},
	}),
	create('least reported', {
		placement: {
			...DEFAULT_PLACEMENT_POLICY,
			sampleSize: ALL_CANDIDATES,
			prefixWeight: 0,
		},
		ownCounts: false,
	}),
	create('no retry budget', {
		admissionGuards: {...ADMISSION_GUARDS, retryBudget: false},
	}),
	create('no shares', {
		admissionGuards: {...ADMISSION_GUARDS, fairShares: false},
	}),
];
