import type {RunResult} from './account.js';
import type {Live} from './request.js';

/** Records how a request ended. */
export function recordEnd(
	result: RunResult,
	{request, delivered, isSpliced}: Live,
	outcome: string,
	now: number,
): void {
	const {customer, deadlineAt} = request;
	const isFinished = outcome === 'finished';
	if (isFinished) {
		const isWhole = delivered === request.total && !isSpliced;
		result.finished++;
		result.notWhole += isWhole ? 0 : 1;
	} else {
		result.refused[outcome] = (result.refused[outcome] ?? 0) + 1;
	}

	if (deadlineAt !== undefined && (!isFinished || now > deadlineAt)) {
		result.deadlineMisses[customer] =
			(result.deadlineMisses[customer] ?? 0) + 1;
	}
}
