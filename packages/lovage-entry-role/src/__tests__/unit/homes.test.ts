import {Map as ImmutableMap} from 'immutable';
import {describe, expect, it} from 'vitest';
import {lookUpHome, registerHome, type Homes, type Place} from '../../homes.js';

const place: Place = {
	customer: 'c',
	requestId: 'r',
	digest: 'd',
	generation: 'g1',
	attempt: 1,
	backend: 'e1',
	entry: 'entry-1',
};
const empty: Homes = ImmutableMap();

describe('homes', () => {
	it('keep the first generation of a request', () => {
		const {homes} = registerHome(empty, place, 0, 100);
		const second = {...place, generation: 'g2'};
		expect(registerHome(homes, second, 1, 100).answer).toEqual({
			kind: 'found',
			place,
		});
	});

	it('follow a generation to its next attempt, not back', () => {
		const {homes} = registerHome(empty, {...place, attempt: 2}, 0, 100);
		const {answer} = registerHome(homes, place, 1, 100);
		expect(answer).toMatchObject({place: {attempt: 2}});
	});

	it('refuse the same id with another body', () => {
		const {homes} = registerHome(empty, place, 0, 100);
		expect(lookUpHome(homes, {...place, digest: 'x'}, 1)).toEqual({
			kind: 'conflict',
		});
	});

	it('forget after the lifetime', () => {
		const {homes} = registerHome(empty, place, 0, 100);
		expect(lookUpHome(homes, place, 100)).toEqual({kind: 'absent'});
	});
});
