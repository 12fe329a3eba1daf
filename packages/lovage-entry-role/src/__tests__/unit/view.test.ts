import {describe, expect, it} from 'vitest';
import {EntryDriver, filterEffects} from '../fixture.js';

function createEntryWith(id: string): EntryDriver {
	const entry = new EntryDriver();
	entry.renew();
	entry.now = 10;
	entry.announce(id);
	return entry;
}

function isPlaced(entry: EntryDriver): boolean {
	return (
		filterEffects(entry.requestGeneration('s'), 'start-attempt').length > 0
	);
}

describe('view of backend servers', () => {
	it('places work on one that announced itself', () => {
		expect(isPlaced(createEntryWith('e1'))).toBe(true);
	});

	it('places no work on one that is leaving, even after an old announcement arrives late', () => {
		const entry = createEntryWith('e1');
		entry.announce('e1', {state: 'leaving', sequence: 20});
		entry.announce('e1', {state: 'serving', sequence: 15});
		expect(isPlaced(entry)).toBe(false);
	});

	it('places no work on one whose announcement has expired', () => {
		const entry = createEntryWith('e1');
		entry.now = 4020;
		entry.renew();
		expect(isPlaced(entry)).toBe(false);
	});

	it('places no work on one that is not in the inventory', () => {
		expect(isPlaced(createEntryWith('e9'))).toBe(false);
	});

	it('places no work on one without the model', () => {
		const entry = createEntryWith('e1');
		entry.announce('e1', {models: [], sequence: 20});
		expect(isPlaced(entry)).toBe(false);
	});

	it('relays a new announcement from the backend server itself, once', () => {
		const entry = createEntryWith('e1');
		entry.now = 20;
		expect(
			filterEffects(entry.announce('e1'), 'relay-announcement'),
		).toHaveLength(1);
		expect(
			filterEffects(entry.announce('e1'), 'relay-announcement'),
		).toHaveLength(0);
	});
});
