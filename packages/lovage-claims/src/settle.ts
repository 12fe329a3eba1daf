import {limitAnswerSize, measureAnswer, summariseAnswer} from './answers.js';
import {createRequestKey} from './request-id.js';
import type {ClaimsState} from './state.js';
import {
	type ClaimsTransition,
	type CommandContext,
	createAnswer,
	replyWith,
} from './transition.js';
import type {ClaimCommand, ClaimOutcome, ClaimRecord} from './types.js';

function limitStoredAnswer(
	state: ClaimsState,
	outcome: ClaimOutcome,
): ClaimOutcome {
	if (outcome.kind !== 'done') {
		return outcome;
	}

	const limited = limitAnswerSize(outcome.answer);
	const total = state.answerBytes + measureAnswer(limited);
	return {
		kind: 'done',
		answer:
			total > state.limits.answerBytes ? summariseAnswer(limited) : limited,
	};
}

/** Sets the final state of a claim. */
export function settleRecord(
	{state}: CommandContext,
	key: string,
	record: ClaimRecord,
	outcome: ClaimOutcome,
): ClaimsTransition {
	const stored = limitStoredAnswer(state, outcome);
	const answerBytes = stored.kind === 'done' ? measureAnswer(stored.answer) : 0;
	const settled: ClaimRecord = {...record, state: stored, answerBytes};
	return replyWith(
		{
			...state,
			records: state.records.set(key, settled),
			open: state.open.delete(record.claim),
			answerBytes: state.answerBytes + answerBytes - record.answerBytes,
		},
		createAnswer(settled),
	);
}

/** Applies the final state that the holder of a claim reports. */
export function settle(
	ctx: CommandContext,
	command: Extract<ClaimCommand, {kind: 'settle'}>,
): ClaimsTransition {
	const key = createRequestKey(command.customer, command.requestId);
	const record = ctx.state.records.get(key);
	if (record === undefined) {
		return replyWith(ctx.state, {kind: 'too-old'});
	}

	const isHolder =
		record.claim === command.claim || !ctx.isGuardEnabled('holderOnlyNotRun');
	const isSettled =
		record.state.kind === 'done' || record.state.kind === 'not-run';
	return isSettled || !isHolder
		? replyWith(ctx.state, createAnswer(record))
		: settleRecord(ctx, key, record, command.outcome);
}

/** Sets the state of a claim to unknown unless its holder has settled it. */
export function lapseClaim(state: ClaimsState, claim: string): ClaimsState {
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
