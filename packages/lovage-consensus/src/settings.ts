import {allGuards} from './guards.js';
import type {RaftSettings} from './state.js';

const ELECTION_TIMEOUT_MS = 1000;
const HEARTBEAT_INTERVAL_MS = 250;

/** Default settings, for networks with a latency of about 1 ms. */
export const defaultSettings: RaftSettings = {
	electionTimeoutMs: ELECTION_TIMEOUT_MS,
	heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
	maxInflightAppends: 8,
	maxAppendEntries: 256,
	maxAppendCharacters: 262_144,
	maxUncommittedEntries: 4096,
	maxPendingReads: 4096,
	snapshotPieceCharacters: 262_144,
	trailingEntries: 1024,
	guards: allGuards,
};
