import {bench, describe} from 'vitest';
import {
	createRaft,
	defaultSettings,
	stepRaft,
	type RaftEffect,
	type RaftMessage,
	type RaftState,
} from '../../index.js';

const NAMES = ['a', 'b', 'c'];
const SNAPSHOT_INTERVAL = 10_000;

/** Creates three replicas with instant message delivery and syncs. */
function createGroup() {
	const members = NAMES.map((name) => ({
		replica: name,
		name,
		address: `http://${name}`,
	}));
	const states = new Map<string, RaftState>();
	let steps = 0;
	let proposals = 0;
	let now = 0;

	const feedEvent = (
		name: string,
		event: Parameters<typeof stepRaft>[1],
	): void => {
		const {state, effects} = stepRaft(states.get(name)!, event);
		steps += 1;
		states.set(name, state);
		effects.forEach((effect) => {
			runEffect(name, effect);
		});
	};

	const queue: RaftMessage[] = [];
	const runEffect = (name: string, effect: RaftEffect): void => {
		if (effect.kind === 'send') {
			queue.push(effect.message);
		}

		if (effect.kind === 'persist' || effect.kind === 'persist-snapshot') {
			feedEvent(name, {kind: 'synced', now, sequence: effect.sequence});
		}
	};

	const deliverMessages = (): void => {
		while (queue.length > 0) {
			const message = queue.shift()!;
			feedEvent(message.to, {kind: 'received', now, message});
		}
	};

	const tick = (durationMs: number): void => {
		now += durationMs;
		NAMES.forEach((name) => {
			feedEvent(name, {kind: 'ticked', now});
			deliverMessages();
		});
	};

	NAMES.forEach((name, position) => {
		const recovered = {replica: name, hardState: {term: 0}, entries: []};
		const options = {settings: defaultSettings, seed: 1 + position * 10_000};
		states.set(name, createRaft({recovered, ...options, now}));
		feedEvent(name, {kind: 'initialised', now, group: 'g', members});
	});
	Array.from({length: 20}).forEach(() => {
		tick(250);
	});

	return {
		tick,
		countSteps: () => steps,
		propose(commands: readonly string[]): void {
			proposals += commands.length;
			feedEvent('a', {kind: 'proposed', now, proposal: 'p', commands});
			deliverMessages();
			if (proposals % SNAPSHOT_INTERVAL < commands.length) {
				NAMES.forEach((name) => {
					const index = states.get(name)!.appliedIndex;
					feedEvent(name, {kind: 'snapshot-taken', now, index, data: ''});
				});
			}
		},
	};
}

describe('three replicas, all steps of all of them', () => {
	const group = createGroup();
	const command = 'x'.repeat(300);
	const batch = Array.from({length: 100}, () => command);

	bench('a command on its own', () => {
		group.propose([command]);
	});

	bench('100 commands together', () => {
		group.propose(batch);
	});

	bench('an idle heartbeat interval', () => {
		group.tick(250);
	});
});
