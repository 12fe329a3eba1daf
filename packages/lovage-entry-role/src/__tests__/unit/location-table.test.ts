import {Map as ImmutableMap} from 'immutable';
import {describe, expect, it} from 'vitest';
import {
	lookUpLocation,
	addLocation,
	type LocationTable,
	type GenerationLocation,
} from '../../location-table.js';

const location: GenerationLocation = {
	customer: 'c',
	requestId: 'r',
	digest: 'd',
	generation: 'g1',
	attempt: 1,
	backend: 'e1',
	entry: 'entry-1',
};
const empty: LocationTable = ImmutableMap();

describe('location table', () => {
	it('keeps the first generation of a request', () => {
		const {locations} = addLocation(empty, location, 0, 100);
		const second = {...location, generation: 'g2'};
		expect(addLocation(locations, second, 1, 100).answer).toEqual({
			kind: 'found',
			place: location,
		});
	});

	it('accepts a later attempt of a generation but no earlier one', () => {
		const {locations} = addLocation(empty, {...location, attempt: 2}, 0, 100);
		const {answer} = addLocation(locations, location, 1, 100);
		expect(answer).toMatchObject({place: {attempt: 2}});
	});

	it('reports a conflict for the same id with a different body', () => {
		const {locations} = addLocation(empty, location, 0, 100);
		expect(lookUpLocation(locations, {...location, digest: 'x'}, 1)).toEqual({
			kind: 'conflict',
		});
	});

	it('forgets a location after its lifetime', () => {
		const {locations} = addLocation(empty, location, 0, 100);
		expect(lookUpLocation(locations, location, 100)).toEqual({kind: 'absent'});
	});
});
