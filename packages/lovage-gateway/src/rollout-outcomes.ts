import type {AttemptFailure, BackendRecord} from '@lovagevalve/dispatch';
import type {AcceptedRequest, GatewayContext} from './context.js';
import type {Run} from './stream-run.js';
import type {AttemptOutcome} from './unary-attempt.js';

/** Lowest status of a response that failed. */
const SERVER_ERROR = 500;

/**
 * Whether a failure is a response that failed. A request that was not sent or that
 * was turned away has had none.
 */
function isFailedResponse({kind}: AttemptFailure): boolean {
	return kind === 'lost' || kind === 'failed';
}

/** Counts the outcome of an attempt for the roll-out of its service. */
export function recordAttempt(
	{rollouts, clock}: Pick<GatewayContext, 'rollouts' | 'clock'>,
	{route}: Pick<AcceptedRequest, 'route'>,
	{
		backend,
		sentAt,
		outcome,
	}: Readonly<{
		backend: BackendRecord;
		sentAt: number;
		outcome: AttemptOutcome;
	}>,
): void {
	const hasFailed =
		(outcome.kind === 'answer' && outcome.status >= SERVER_ERROR) ||
		(outcome.kind === 'failure' && isFailedResponse(outcome.failure)) ||
		(outcome.kind === 'ended' && outcome.reason === 'timeout');
	if (hasFailed) {
		rollouts?.recordOutcome(backend, route.name, {kind: 'failed'});
	} else if (outcome.kind === 'answer') {
		const tookMs = clock.now() - sentAt;
		rollouts?.recordOutcome(backend, route.name, {kind: 'answered', tookMs});
	}
}

/** Counts the first event of a run for the roll-out of its service. */
export function recordFirstEvent(
	{rollouts}: Pick<GatewayContext, 'rollouts'>,
	{route}: Pick<AcceptedRequest, 'route'>,
	{backend, isRelayed, sentAt, lastEventAt}: Run,
): void {
	if (!isRelayed) {
		const tookMs = lastEventAt - sentAt;
		rollouts?.recordOutcome(backend, route.name, {kind: 'answered', tookMs});
	}
}

/** Counts a run that failed for the roll-out of its service. */
export function recordFailedRun(
	{rollouts}: Pick<GatewayContext, 'rollouts'>,
	{route}: Pick<AcceptedRequest, 'route'>,
	{backend, isRelayed}: Run,
	failure: AttemptFailure,
): void {
	if (!isRelayed && isFailedResponse(failure)) {
		rollouts?.recordOutcome(backend, route.name, {kind: 'failed'});
	}
}
