import {becomeLeader} from './leader.js';
import {isUpToDate, readLastIndex, readLastTerm} from './log.js';
import {isQuorum, isVoter, readVoters} from './members.js';
import type {VoteAnswerMessage, VoteMessage} from './messages.js';
import type {RaftState} from './state.js';
import {
	send,
	sendWhenSynced,
	update,
	updateHardState,
	type MessageBody,
	type Step,
} from './step.js';
import {
	becomeFollower,
	hasLiveLeader,
	joinGroup,
	raiseTerm,
	resetElectionTimer,
} from './term.js';
import type {ReplicaId} from './types.js';

function createVoteRequests(
	state: RaftState,
	kind: VoteMessage['kind'],
	term: number,
	transfer: boolean,
): readonly MessageBody[] {
	const lastIndex = readLastIndex(state.log);
	const lastTerm = readLastTerm(state.log);
	return readVoters(state)
		.filter((replica) => replica !== state.replica)
		.map((to) => ({kind, to, term, lastIndex, lastTerm, transfer}));
}

function countVote(step: Step, from: ReplicaId): Step {
	const {role} = step.state;
	if (role.kind !== 'pre-candidate' && role.kind !== 'candidate') {
		return step;
	}

	const votes = role.votes.includes(from) ? role.votes : [...role.votes, from];
	const updated = update(step, {role: {...role, votes}});
	if (!isQuorum(updated.state, (replica) => votes.includes(replica))) {
		return updated;
	}

	return role.kind === 'candidate'
		? becomeLeader(updated)
		: startElection(updated, false);
}

/** Counts this candidate's vote for itself after it is synced. */
export function countOwnVote(step: Step): Step {
	const {role, writes, hardState, settings, replica} = step.state;
	const isCounted =
		writes.syncedTerm === hardState.term || !settings.guards.syncBeforeVote;
	return role.kind === 'candidate' && isCounted
		? countVote(step, replica)
		: step;
}

/** Increments the term and requests votes. */
export function startElection(step: Step, transfer: boolean): Step {
	const {hardState, replica} = step.state;
	const term = hardState.term + 1;
	const raised = update(raiseTerm(step, term, replica), {
		role: {kind: 'candidate', votes: []},
	});
	const bodies = createVoteRequests(raised.state, 'vote', term, transfer);
	const requested = bodies.reduce(sendWhenSynced, resetElectionTimer(raised));
	return countOwnVote(requested);
}

function startPreVote(step: Step): Step {
	const {hardState, replica} = step.state;
	const preCandidate = update(resetElectionTimer(step), {
		role: {kind: 'pre-candidate', votes: []},
	});
	const term = hardState.term + 1;
	const bodies = createVoteRequests(
		preCandidate.state,
		'pre-vote',
		term,
		false,
	);
	return countVote(bodies.reduce(send, preCandidate), replica);
}

/** Starts an election, or its pre-vote, when the election timeout has passed. */
export function checkElection(step: Step): Step {
	const {state, now} = step;
	const isDue =
		state.role.kind !== 'leader' &&
		state.role.kind !== 'unassigned' &&
		now >= state.electionAt;
	if (!isDue || !isVoter(state)) {
		return step;
	}

	return state.settings.guards.preVote
		? startPreVote(step)
		: startElection(step, false);
}

/** Starts an election at once on the leader's request. */
export function receiveTimeoutNow(step: Step): Step {
	const {state} = step;
	return state.role.kind === 'follower' && isVoter(state)
		? startElection(step, true)
		: step;
}

function replyToVote(step: Step, message: VoteMessage, granted: boolean): Step {
	const isPreVote = message.kind === 'pre-vote';
	const body: MessageBody = {
		kind: isPreVote ? 'pre-vote-answer' : 'vote-answer',
		to: message.from,
		granted,
		term: isPreVote && granted ? message.term : step.state.hardState.term,
	};
	return granted && !isPreVote ? sendWhenSynced(step, body) : send(step, body);
}

function isCandidateUpToDate(state: RaftState, message: VoteMessage): boolean {
	return (
		!state.settings.guards.logUpToDateCheck ||
		isUpToDate(state.log, message.lastIndex, message.lastTerm)
	);
}

function decideVote(step: Step, message: VoteMessage): Step {
	const {hardState, settings} = step.state;
	const hasVoteLeft =
		hardState.vote === undefined ||
		hardState.vote === message.from ||
		!settings.guards.voteOncePerTerm;
	const isGranted =
		message.term === hardState.term &&
		hasVoteLeft &&
		step.state.role.kind !== 'leader' &&
		isCandidateUpToDate(step.state, message);
	if (!isGranted) {
		return replyToVote(step, message, false);
	}

	const voted =
		hardState.vote === message.from
			? step
			: updateHardState(step, {...hardState, vote: message.from});
	return replyToVote(resetElectionTimer(voted), message, true);
}

/** Answers a vote request; ignores it while unassigned or while a leader is live. */
export function receiveVote(step: Step, message: VoteMessage): Step {
	const {state, now} = step;
	const {guards} = state.settings;
	const isUnassigned = state.role.kind === 'unassigned';
	if (isUnassigned && guards.newIdentityAfterLostDisk) {
		return step;
	}

	const isDisruptive =
		guards.checkQuorum && !message.transfer && hasLiveLeader(state, now);
	if (isDisruptive) {
		return step;
	}

	if (message.kind === 'pre-vote') {
		const isGranted =
			message.term > state.hardState.term &&
			isCandidateUpToDate(state, message);
		return replyToVote(step, message, isGranted);
	}

	const joined = joinGroup(step, message.group);
	const raised =
		message.term > state.hardState.term
			? becomeFollower(joined, message.term)
			: joined;
	return decideVote(raised, message);
}

/** Counts votes for the current term, and pre-votes for the next one. */
export function receiveVoteAnswer(
	step: Step,
	message: VoteAnswerMessage,
): Step {
	const {role, hardState} = step.state;
	const isPreVote = message.kind === 'pre-vote-answer';
	if (!message.granted) {
		return message.term > hardState.term
			? becomeFollower(step, message.term)
			: step;
	}

	const isCurrent = isPreVote
		? role.kind === 'pre-candidate' && message.term === hardState.term + 1
		: role.kind === 'candidate' && message.term === hardState.term;
	return isCurrent ? countVote(step, message.from) : step;
}
