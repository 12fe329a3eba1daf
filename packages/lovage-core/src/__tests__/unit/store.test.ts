import {describe, expect, it} from 'vitest';
import {createStore} from '../../store.js';
import {createTransition} from '../../step.js';

type Event = {kind: 'add'; amount: number};
type Effect = {kind: 'echo'; amount: number};

function step(state: number, event: Event) {
	const effects: Effect[] = event.amount > 1 ? [{kind: 'echo', amount: 1}] : [];
	return createTransition(state + event.amount, effects);
}

describe('createStore', () => {
	it('applies events raised by effects after the current one', () => {
		const seen: number[] = [];
		const store = createStore(step, 0, (effect) => {
			store.update({kind: 'add', amount: effect.amount});
		});
		const unregister = store.registerListener((state) => {
			seen.push(state);
		});
		store.update({kind: 'add', amount: 5});
		unregister();
		store.update({kind: 'add', amount: 1});
		expect(seen).toEqual([5, 6]);
		expect(store.read()).toBe(7);
	});
});
