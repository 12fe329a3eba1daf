import type {ServiceLevelRecord} from '@lovagevalve/entry-role';
import {rulesSchema, type Rules} from '@lovagevalve/inventory';
import {
	createServiceLevel,
	stepServiceLevel,
	takeSnapshot,
	type ServiceLevelEvent,
	type ServiceLevelSnapshot,
} from '@lovagevalve/report';
import type {Clock, Metrics} from '@lovagevalve/runtime';

/**
 * Counts measurements for the service-level burn report and sends them as
 * metrics.
 */
export type ServiceLevelCounter = Readonly<{
	record: (measurement: ServiceLevelRecord) => void;
	/** Applies these rules to measurements recorded from now on. */
	applyRules: (rules: Rules) => void;
	takeSnapshot: () => ServiceLevelSnapshot;
}>;

function sendMetric(metrics: Metrics, measurement: ServiceLevelRecord): void {
	const tags = [`service:${measurement.service}`];
	switch (measurement.kind) {
		case 'first-token': {
			metrics.timing('entry.first_token', measurement.waitMs, tags);
			return;
		}

		case 'resumed': {
			const cause = `cause:${measurement.cause}`;
			metrics.timing('entry.resume', measurement.waitMs, [...tags, cause]);
			return;
		}

		case 'ended': {
			const outcome = `outcome:${measurement.outcome}`;
			metrics.increment('entry.ended', 1, [...tags, outcome]);
			return;
		}

		case 'worked': {
			metrics.increment('entry.work', measurement.amount, tags);
			return;
		}

		case 'extra-used': {
			const cause = `cause:${measurement.cause}`;
			metrics.increment('entry.extra', measurement.amount, [...tags, cause]);
		}
	}
}

/** Creates a counter; its counts are kept in memory only. */
export function createServiceLevelCounter(
	clock: Clock,
	metrics: Metrics,
): ServiceLevelCounter {
	let state = createServiceLevel(rulesSchema.parse({}));
	const step = (event: ServiceLevelEvent): void => {
		state = stepServiceLevel(state, event).state;
	};

	return {
		record(measurement) {
			sendMetric(metrics, measurement);
			step({...measurement, at: clock.wall()});
		},
		applyRules(rules) {
			step({kind: 'rules-changed', rules});
		},
		takeSnapshot: () => takeSnapshot(state, clock.wall()),
	};
}
