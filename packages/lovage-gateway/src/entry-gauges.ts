import type {PrometheusMetrics} from '@lovagevalve/runtime';
import type {BackendReach} from './backend-reach.js';
import type {BackendView} from './backend-view.js';
import type {BrittleBackends} from './brittle-backends.js';
import type {NamedLimits} from './named-limits.js';
import type {RolloutVersions} from './rollout-versions.js';

/** What the gauges of an entry read. */
export type EntryGaugeSources = Readonly<{
	readVersion: () => number;
	countRequests: () => number;
	view: Pick<BackendView, 'countReady'>;
	limits: Pick<NamedLimits, 'countLimited'>;
	brittle: Pick<BrittleBackends, 'countBrittle'>;
	/** Absent where roll-outs are not in force. */
	rollouts: Pick<RolloutVersions, 'countRunning'> | undefined;
	reach: Pick<BackendReach, 'isIsolated'>;
	countReachableControls: () => number;
}>;

/** Registers the gauges of an entry. */
export function registerEntryGauges(
	metrics: Pick<PrometheusMetrics, 'registerGauge'>,
	{
		readVersion,
		countRequests,
		view,
		limits,
		brittle,
		rollouts,
		reach,
		countReachableControls,
	}: EntryGaugeSources,
): void {
	metrics.registerGauge('configuration_version', readVersion);
	metrics.registerGauge('requests_under_way', countRequests);
	metrics.registerGauge('backends_ready', () => view.countReady());
	metrics.registerGauge('backends_limited', () => limits.countLimited());
	metrics.registerGauge('backends_brittle', () => brittle.countBrittle());
	metrics.registerGauge('isolated', () => (reach.isIsolated() ? 1 : 0));
	metrics.registerGauge('controls_reachable', countReachableControls);
	if (rollouts !== undefined) {
		metrics.registerGauge('rollouts_running', rollouts.countRunning);
	}
}
