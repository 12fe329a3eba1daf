import {boundAnswer, measureAnswer, summariseAnswer} from './answers.js';
import {answer, type Context, describeRecord, type Outcome} from './outcome.js';
import {createRequestKey} from './request-id.js';
import type {ClaimsState} from './state.js';
import type {ClaimCommand, ClaimOutcome, ClaimRecord} from './types.js';

function fitAnswer(state: ClaimsState, outcome: ClaimOutcome): ClaimOutcome {
	if (outcome.kind !== 'done') {
		return outcome;
	}

	const bounded = boundAnswer(outcome.answer);
	const total = state.answerBytes + measureAnswer(bounded);
	return {
		kind: 'done',
		answer:
			total > state.limits.answerBytes ? summariseAnswer(bounded) : bounded,
	};
}

/** Puts the final state of a claim. */
export function settleRecord(
	{state}: Context,
	key: string,
	record: ClaimRecord,
	outcome: ClaimOutcome,
): Outcome {
	const fitted = fitAnswer(state, outcome);
	const answerBytes = fitted.kind === 'done' ? measureAnswer(fitted.answer) : 0;
	const settled: ClaimRecord = {...record, state: fitted, answerBytes};
	return answer(
		{
			...state,
			records: state.records.set(key, settled),
			open: state.open.delete(record.claim),
			answerBytes: state.answerBytes + answerBytes - record.answerBytes,
		},
		describeRecord(settled),
	);
}

/** Applies the final state that a holder reports. */
export function settle(
	ctx: Context,
	command: Extract<ClaimCommand, {kind: 'settle'}>,
): Outcome {
	const key = createRequestKey(command.customer, command.requestId);
	const record = ctx.state.records.get(key);
	if (record === undefined) {
		return answer(ctx.state, {kind: 'too-old'});
	}

	const isHolder =
		record.claim === command.claim || !ctx.isGuarded('holderOnlyNotRun');
	const isSettled =
		record.state.kind === 'done' || record.state.kind === 'not-run';
	return isSettled || !isHolder
		? answer(ctx.state, describeRecord(record))
		: settleRecord(ctx, key, record, command.outcome);
}

/** Makes a claim unknown unless its holder has settled it. */
export function lapseOne(state: ClaimsState, claim: string): ClaimsState {
	const key = state.open.get(claim);
	const record = key === undefined ? undefined : state.records.get(key);
	if (key === undefined || record?.claim !== claim) {
		return state;
	}

	return {
		...state,
		open: state.open.delete(claim),
		records: state.records.set(key, {...record, state: {kind: 'unknown'}}),
	};
}
