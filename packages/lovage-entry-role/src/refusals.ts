import type {Fact, Refusal} from './events.js';

type Outcome = Extract<Fact, {kind: 'ended'}>['outcome'];

/** Refusals that lie in the request and not in the service. */
const REJECTIONS: ReadonlySet<Refusal> = new Set([
	'unauthenticated',
	'unknown-service',
	'invalid-request',
	'too-large',
	'quarantined',
	'conflict',
	'in-progress',
	'id-too-old',
	'invalid-cursor',
	'prefix-missing',
	'not-run',
]);

/** Says how a refused request counts in the report. */
export function judgeRefusal(reason: Refusal): Outcome {
	if (REJECTIONS.has(reason)) {
		return 'rejected';
	}

	return reason === 'outcome-unknown' ? 'failed' : 'refused';
}
