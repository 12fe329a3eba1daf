import {Map as ImmutableMap} from 'immutable';
import {describe, expect, it} from 'vitest';
import {
	lookUpLocation,
	addLocation,
	type LocationTable,
	type GenerationLocation,
} from '../../location-table.js';

const place: GenerationLocation = {
	customer: 'c',
	requestId: 'r',
	digest: 'd',
	generation: 'g1',
	attempt: 1,
	backend: 'e1',
	entry: 'entry-1',
};
const empty: LocationTable = ImmutableMap();

describe('homes', () => {
	it('keep the first generation of a request', () => {
		const {locations} = addLocation(empty, place, 0, 100);
		const second = {...place, generation: 'g2'};
		expect(addLocation(locations, second, 1, 100).answer).toEqual({
			kind: 'found',
			place,
		});
	});

	it('follow a generation to its next attempt, not back', () => {
		const {locations} = addLocation(empty, {...place, attempt: 2}, 0, 100);
		const {answer} = addLocation(locations, place, 1, 100);
		expect(answer).toMatchObject({place: {attempt: 2}});
	});

	it('refuse the same id with another body', () => {
		const {locations} = addLocation(empty, place, 0, 100);
		expect(lookUpLocation(locations, {...place, digest: 'x'}, 1)).toEqual({
			kind: 'conflict',
		});
	});

	it('forget after the lifetime', () => {
		const {locations} = addLocation(empty, place, 0, 100);
		expect(lookUpLocation(locations, place, 100)).toEqual({kind: 'absent'});
	});
});
