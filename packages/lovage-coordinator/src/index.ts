export {createCoordinator} from './coordinator.js';
export type {
	Coordinator,
	CoordinatorDependencies,
	CoordinatorSettings,
} from './coordinator-types.js';
export type {
	ReplicatedRollouts,
	RolloutSettings,
} from './replicated-rollouts.js';
export type {
	RolloutReadOutcome,
	RolloutRequest,
	RolloutRequestOutcome,
} from './rollout-messages.js';
export {
	decodeRolloutReadOutcome,
	decodeRolloutRequestOutcome,
} from './rollout-messages.js';
export type {Rollouts} from './rollouts.js';
export type {ReadOutcome} from './decode-messages.js';
export {selectGossipPart} from './gossip-parts.js';
export type {GossipRound} from './gossip-parts.js';
export {findFailedVoter} from './membership.js';
export type {KnownEntry} from './entry-registry.js';
export {createOriginLog} from './origin-log.js';
export type {OriginLog, StoredOrigin} from './origin-log.js';
export {createOriginRegistry} from './origin-registry.js';
export type {OriginRegistry} from './origin-registry.js';
export {createRegistrationAdmission as createRegistrationDoor} from './registration-admission.js';
export type {RegistrationAdmissionOptions as RegistrationDoorOptions} from './registration-admission.js';
export type {RegisterOutcome} from './registration.js';
export {createRegistry} from './registry.js';
export type {Registry} from './registry.js';
export {applyEntry, EMPTY_GROUP_STATE} from './state-machine.js';
export type {GroupState, StoredConfiguration} from './state-machine.js';
export {createVersionHistory} from './version-history.js';
export type {VersionHistory, VersionHistoryOptions} from './version-history.js';
export type {StoredVersions, VersionFile} from './version-file.js';
