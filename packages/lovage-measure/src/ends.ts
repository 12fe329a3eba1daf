import type {RunResult} from './account.js';
import type {LiveRequest} from './request.js';

/** Records the outcome of a request. */
export function recordOutcome(
	result: RunResult,
	{request, delivered, hasOffsetMismatch}: LiveRequest,
	outcome: string,
	endedAt: number,
): void {
	const {customer, deadlineAt} = request;
	const isFinished = outcome === 'finished';
	if (isFinished) {
		const isWhole = delivered === request.total && !hasOffsetMismatch;
		result.finished++;
		result.notWhole += isWhole ? 0 : 1;
	} else {
		result.refused[outcome] = (result.refused[outcome] ?? 0) + 1;
	}

	if (deadlineAt !== undefined && (!isFinished || endedAt > deadlineAt)) {
		result.deadlineMisses[customer] =
			(result.deadlineMisses[customer] ?? 0) + 1;
	}
}
