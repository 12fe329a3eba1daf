import {describe, expect, it} from 'vitest';
import type {HomeAnswer, GenerationLocation} from '../../index.js';
import {
	createServingEntry,
	type EntryDriver,
	KEY_HASH,
	listRefusals,
	filterEffects,
} from '../fixture.js';

const location: GenerationLocation = {
	customer: 'label',
	requestId: 'r',
	digest: 'd',
	generation: 'g-first',
	attempt: 1,
	backend: 'e2',
	entry: 'entry-3',
};

/** Sends a request whose three home entries are all other entries. */
function queryHomes(entry: EntryDriver) {
	entry.renewWithPeers(5);
	const ids = Array.from({length: 20}, (_, i) => `r${i}`);
	const asked = ids.map((requestId) =>
		filterEffects(
			entry.apply({
				kind: 'generation-requested',
				stream: requestId,
				keyHash: KEY_HASH,
				generation: 'g-new',
				input: {
					requestId,
					service: 'drafts',
					promptBytes: 1,
					maxTokens: 10,
					digest: 'd',
					prefixes: [],
					hasDelivered: false,
				},
				now: 0,
				random: 0,
			}),
			'register-home',
		),
	);
	const [first, second, third] = asked.find(({length}) => length === 3)!;
	const answer = (home: string, given: HomeAnswer | undefined) =>
		entry.apply({
			kind: 'home-answered',
			stream: first!.stream,
			home,
			answer: given,
			now: 0,
			random: 0,
		});
	return {
		decide: (
			deciding: HomeAnswer | undefined,
			other: HomeAnswer | undefined,
		) => [
			...answer(first!.home, deciding),
			...answer(second!.home, other),
			...answer(third!.home, undefined),
		],
		own: first!.place,
	};
}

const found = (change: Partial<GenerationLocation> = {}): HomeAnswer => ({
	kind: 'found',
	place: {...location, ...change},
});

describe('a request sent again without a cursor', () => {
	it('joins the running generation when the first home entry does not answer', () => {
		const {decide} = queryHomes(createServingEntry());
		const effects = decide(undefined, found());
		expect(filterEffects(effects, 'start-attempt')).toEqual([]);
		expect(filterEffects(effects, 'resume-attempt')).toMatchObject([
			{generation: 'g-first', offset: 0},
		]);
	});

	it('joins the running generation when the first home entry has lost its location', () => {
		const {decide, own} = queryHomes(createServingEntry());
		const effects = decide({kind: 'found', place: own}, found());
		expect(filterEffects(effects, 'resume-attempt')).toHaveLength(1);
	});

	it('is refused while the earlier copy waits for a backend server', () => {
		const {decide} = queryHomes(createServingEntry());
		const effects = decide(found({backend: ''}), undefined);
		expect(listRefusals(effects)).toEqual(['in-progress']);
		expect(filterEffects(effects, 'forget-home')).toHaveLength(3);
	});

	it('starts if the earlier copy was queued at an entry that is gone', () => {
		const {decide} = queryHomes(createServingEntry());
		const effects = decide(found({backend: '', entry: 'gone'}), undefined);
		expect(filterEffects(effects, 'start-attempt')).toHaveLength(1);
	});

	it('starts if the first home entry kept it and another has a queued copy', () => {
		const {decide, own} = queryHomes(createServingEntry());
		const effects = decide({kind: 'found', place: own}, found({backend: ''}));
		expect(filterEffects(effects, 'start-attempt')).toHaveLength(1);
	});

	it('starts if no home entry answers', () => {
		const {decide} = queryHomes(createServingEntry());
		expect(
			filterEffects(decide(undefined, undefined), 'start-attempt'),
		).toHaveLength(1);
	});

	it('is refused with a different body', () => {
		const {decide} = queryHomes(createServingEntry());
		expect(listRefusals(decide(found(), {kind: 'conflict'}))).toEqual([
			'conflict',
		]);
	});
});
