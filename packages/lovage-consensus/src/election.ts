import {becomeLeader} from './leader.js';
import {isUpToDate, readLastIndex, readLastTerm} from './log.js';
import {isQuorum, isVoter, readVoters} from './members.js';
import type {VoteAnswerMessage, VoteMessage} from './messages.js';
import type {RaftState} from './state.js';
import {
	becomeFollower,
	hasLiveLeader,
	joinGroup,
	raiseTerm,
	resetElection,
} from './term.js';
import {
	send,
	sendWhenSynced,
	update,
	updateHardState,
	type MessageBody,
	type Turn,
} from './turn.js';
import type {ReplicaId} from './types.js';

function createVoteBodies(
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

function countVote(turn: Turn, from: ReplicaId): Turn {
	const {role} = turn.state;
	if (role.kind !== 'pre-candidate' && role.kind !== 'candidate') {
		return turn;
	}

	const votes = role.votes.includes(from) ? role.votes : [...role.votes, from];
	const counted = update(turn, {role: {...role, votes}});
	if (!isQuorum(counted.state, (replica) => votes.includes(replica))) {
		return counted;
	}

	return role.kind === 'candidate'
		? becomeLeader(counted)
		: startElection(counted, false);
}

/** Counts this candidate's vote for itself once it is synced. */
export function countOwnVote(turn: Turn): Turn {
	const {role, writes, hardState, settings, replica} = turn.state;
	const isCounted =
		writes.syncedTerm === hardState.term || !settings.guards.syncBeforeVote;
	return role.kind === 'candidate' && isCounted
		? countVote(turn, replica)
		: turn;
}

/** Raises the term and asks for votes. */
export function startElection(turn: Turn, transfer: boolean): Turn {
	const {hardState, replica} = turn.state;
	const term = hardState.term + 1;
	const raised = update(raiseTerm(turn, term, replica), {
		role: {kind: 'candidate', votes: []},
	});
	const bodies = createVoteBodies(raised.state, 'vote', term, transfer);
	const asked = bodies.reduce(sendWhenSynced, resetElection(raised));
	return countOwnVote(asked);
}

function startPreVote(turn: Turn): Turn {
	const {hardState, replica} = turn.state;
	const begun = update(resetElection(turn), {
		role: {kind: 'pre-candidate', votes: []},
	});
	const term = hardState.term + 1;
	const bodies = createVoteBodies(begun.state, 'pre-vote', term, false);
	return countVote(bodies.reduce(send, begun), replica);
}

/** Starts an election when no leader was heard for the time drawn. */
export function checkElection(turn: Turn): Turn {
	const {state, now} = turn;
	const isDue =
		state.role.kind !== 'leader' &&
		state.role.kind !== 'unassigned' &&
		now >= state.electionAt;
	if (!isDue || !isVoter(state)) {
		return turn;
	}

	return state.settings.guards.preVote
		? startPreVote(turn)
		: startElection(turn, false);
}

/** Starts an election at once because the leader asks for it. */
export function receiveTimeoutNow(turn: Turn): Turn {
	const {state} = turn;
	return state.role.kind === 'follower' && isVoter(state)
		? startElection(turn, true)
		: turn;
}

function answerVote(turn: Turn, message: VoteMessage, granted: boolean): Turn {
	const isPreVote = message.kind === 'pre-vote';
	const body: MessageBody = {
		kind: isPreVote ? 'pre-vote-answer' : 'vote-answer',
		to: message.from,
		granted,
		term: isPreVote && granted ? message.term : turn.state.hardState.term,
	};
	return granted && !isPreVote ? sendWhenSynced(turn, body) : send(turn, body);
}

function isComplete(state: RaftState, message: VoteMessage): boolean {
	return (
		!state.settings.guards.logUpToDateCheck ||
		isUpToDate(state.log, message.lastIndex, message.lastTerm)
	);
}

function decideVote(turn: Turn, message: VoteMessage): Turn {
	const {hardState, settings} = turn.state;
	const isFree =
		hardState.vote === undefined ||
		hardState.vote === message.from ||
		!settings.guards.voteOncePerTerm;
	const isGranted =
		message.term === hardState.term &&
		isFree &&
		turn.state.role.kind !== 'leader' &&
		isComplete(turn.state, message);
	if (!isGranted) {
		return answerVote(turn, message, false);
	}

	const voted =
		hardState.vote === message.from
			? turn
			: updateHardState(turn, {...hardState, vote: message.from});
	return answerVote(resetElection(voted), message, true);
}

/** Decides on a vote; says nothing while unassigned or while a leader lives. */
export function receiveVote(turn: Turn, message: VoteMessage): Turn {
	const {state, now} = turn;
	const {guards} = state.settings;
	const isUnassigned = state.role.kind === 'unassigned';
	if (isUnassigned && guards.newIdentityAfterLostDisk) {
		return turn;
	}

	const isDisturbing =
		guards.checkQuorum && !message.transfer && hasLiveLeader(state, now);
	if (isDisturbing) {
		return turn;
	}

	if (message.kind === 'pre-vote') {
		const isGranted =
			message.term > state.hardState.term && isComplete(state, message);
		return answerVote(turn, message, isGranted);
	}

	const joined = joinGroup(turn, message.group);
	const raised =
		message.term > state.hardState.term
			? becomeFollower(joined, message.term)
			: joined;
	return decideVote(raised, message);
}

/** Counts an answer to a vote request of this term, or to the pre-vote for the next one. */
export function receiveVoteAnswer(
	turn: Turn,
	message: VoteAnswerMessage,
): Turn {
	const {role, hardState} = turn.state;
	const isPreVote = message.kind === 'pre-vote-answer';
	if (!message.granted) {
		return message.term > hardState.term
			? becomeFollower(turn, message.term)
			: turn;
	}

	const isCurrent = isPreVote
		? role.kind === 'pre-candidate' && message.term === hardState.term + 1
		: role.kind === 'candidate' && message.term === hardState.term;
	return isCurrent ? countVote(turn, message.from) : turn;
}
