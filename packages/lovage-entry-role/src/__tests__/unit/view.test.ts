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
	it('gives work to one that announced itself', () => {
		expect(isPlaced(createEntryWith('e1'))).toBe(true);
	});

	it('gives no work to one that is leaving, even after a late announcement', () => {
		const entry = createEntryWith('e1');
		entry.announce('e1', {state: 'leaving', sequence: 20});
		entry.announce('e1', {state: 'serving', sequence: 15});
		expect(isPlaced(entry)).toBe(false);
	});

	it('gives no work to one that was silent past the lifetime', () => {
		const entry = createEntryWith('e1');
		entry.now = 4020;
		entry.renew();
		expect(isPlaced(entry)).toBe(false);
	});

	it('gives no work to one that the inventory does not name', () => {
		expect(isPlaced(createEntryWith('e9'))).toBe(false);
	});

	it('gives no work to one without the model', () => {
		const entry = createEntryWith('e1');
		entry.announce('e1', {models: [], sequence: 20});
		expect(isPlaced(entry)).toBe(false);
	});

	it('passes on what it heard from the backend server itself', () => {
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
