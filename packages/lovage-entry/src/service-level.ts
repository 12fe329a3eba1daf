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

/** Counts facts for the report on service-level burn. */
export type ServiceLevel = Readonly<{
	record: (fact: ServiceLevelRecord) => void;
	/** Judges later facts by these rules. */
	applyRules: (rules: Rules) => void;
	takeSnapshot: () => ServiceLevelSnapshot;
}>;

function sendMetric(metrics: Metrics, fact: ServiceLevelRecord): void {
	const tags = [`service:${fact.service}`];
	switch (fact.kind) {
		case 'first-token': {
			metrics.timing('entry.first_token', fact.waitMs, tags);
			return;
		}

		case 'resumed': {
			const cause = `cause:${fact.cause}`;
			metrics.timing('entry.resume', fact.waitMs, [...tags, cause]);
			return;
		}

		case 'ended': {
			const outcome = `outcome:${fact.outcome}`;
			metrics.increment('entry.ended', 1, [...tags, outcome]);
			return;
		}

		case 'worked': {
			metrics.increment('entry.work', fact.amount, tags);
			return;
		}

		case 'extra-used': {
			const cause = `cause:${fact.cause}`;
			metrics.increment('entry.extra', fact.amount, [...tags, cause]);
		}
	}
}

/** Starts to count; the counts are lost when the process ends. */
export function createServiceLevelCounter(
	clock: Clock,
	metrics: Metrics,
): ServiceLevel {
	let state = createServiceLevel(rulesSchema.parse({}));
	const step = (event: ServiceLevelEvent): void => {
		state = stepServiceLevel(state, event).state;
	};

	return {
		record(fact) {
			sendMetric(metrics, fact);
			step({...fact, at: clock.wall()});
		},
		applyRules(rules) {
			step({kind: 'rules-changed', rules});
		},
		takeSnapshot: () => takeSnapshot(state, clock.wall()),
	};
}
