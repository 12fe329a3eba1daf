import type {CallOutcome} from './caller-calls.js';
import {isCompleteAnswer, type Answer} from './tracked-generations.js';
import type {WorkSummary} from './work-summary.js';

const SHOWN_TOKEN_COUNT = 3;

function formatAnswer(answer: Answer): string {
	const {call, transcript} = answer;
	const {tokens, connections, longestGapMs, problem} = transcript;
	const first = tokens.slice(0, SHOWN_TOKEN_COUNT).join(' ');
	const last = tokens.slice(-1).join(' ');
	const verdict = isCompleteAnswer(answer) ? 'complete' : 'INCOMPLETE';
	return [
		`  ${call.requestId}: ${verdict}, ${tokens.length} tokens: ${first} … ${last}`,
		`    connections ${connections.length}, longest gap ${Math.round(longestGapMs)} ms`,
		...(problem === undefined
			? []
			: [`    ${problem.type}: ${problem.detail}`]),
		...transcript.faults.map((fault) => `    error: ${fault}`),
	].join('\n');
}

/** Formats a summary of each answer. */
export function formatAnswers(answers: readonly Answer[]): string {
	return ['Answers:', ...answers.map(formatAnswer)].join('\n');
}

/** Formats the resume latency and the extra resource use of the demo run. */
export function formatMetrics(
	answers: readonly Answer[],
	interrupted: readonly string[],
	work: WorkSummary,
): string {
	const delivered = answers.reduce(
		(sum, {transcript}) => sum + transcript.tokens.length,
		0,
	);
	const waits = answers
		.filter(({call}) => interrupted.includes(call.prompt))
		.map(({transcript}) => Math.round(transcript.longestGapMs))
		.toSorted((a, b) => a - b);
	const extraTokens = work.produced - delivered;
	const extraPercent = ((extraTokens / delivered) * 100).toFixed(1);
	return [
		`Resume latency of the interrupted answers (ms): ${waits.join(', ')}`,
		`Extra resource use: ${extraTokens} tokens generated beyond the ${delivered} delivered (${extraPercent}%), ${work.recomputed} delivered tokens recomputed as prefix`,
	].join('\n');
}

/** Formats the last outcome of a call to a plain service. */
export function formatCall(
	name: string,
	outcomes: readonly CallOutcome[],
): string {
	const last = outcomes.at(-1);
	return last?.kind === 'answered'
		? `  ${name}: answered${last.answer.replayed ? ' from the stored answer' : ''}`
		: `  ${name}: ${JSON.stringify(last)}`;
}
