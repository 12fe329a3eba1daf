export type {RaftEffect, RaftEvent, RefusalReason} from './events.js';
export {
	isJoiningMember,
	isLogEntry,
	isMember,
	isRaftMessage,
} from './decode-message.js';
export {allGuards} from './guards.js';
export type {RaftGuards} from './guards.js';
export type {
	AppendAnswerMessage,
	AppendMessage,
	RaftMessage,
	SnapshotAnswerMessage,
	SnapshotMessage,
	TimeoutNowMessage,
	VoteAnswerMessage,
	VoteMessage,
} from './messages.js';
export {createRaft, stepRaft} from './raft.js';
export type {RaftOptions} from './raft.js';
export {readMembersAt} from './log.js';
export {needsJoin, readMembers} from './members.js';
export {findLeader} from './step.js';
export {readLastIndex} from './log.js';
export {defaultSettings} from './settings.js';
export type {
	LeaderRole,
	PendingRead,
	PendingWrite,
	Progress,
	RaftLog,
	RaftRole,
	RaftSettings,
	RaftState,
} from './state.js';
export type {
	HardState,
	JoiningMember,
	LogEntry,
	Member,
	RecoveredState,
	ReplicaId,
	Snapshot,
} from './types.js';
