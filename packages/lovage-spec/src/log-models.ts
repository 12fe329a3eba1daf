import {logCommitModel, logCrashModel} from './log-model-commit.js';
import {logDisturbanceModel} from './log-model-disturbance.js';
import {logElectionModel} from './log-model-election.js';
import {logLostDiskModel, logRemovalModel} from './log-model-membership.js';
import {logReadsModel} from './log-model-reads.js';
import type {Model} from './model.js';

/**
 * Models of the replicated log; each drives the step function of the consensus
 * package.
 */
export const logModels: readonly Model[] = [
	logElectionModel,
	logCrashModel,
	logCommitModel,
	logReadsModel,
	logRemovalModel,
	logLostDiskModel,
	logDisturbanceModel,
];
