import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	chooseBackend,
	countFreeSlots,
	estimateOccupancy,
	type Candidate,
	type PlacementRequest,
} from '../../index.js';

const SEED = 5501;

function createCandidate(id: string, change: Partial<Candidate> = {}) {
	const candidate: Candidate = {
		id,
		dataCentre: 'a',
		state: 'serving',
		incarnation: 1,
		capacity: 8,
		models: ['m'],
		inFlight: 0,
		cachedPrefixes: new Set(),
		suspects: [],
		...change,
	};
	return candidate;
}

const request: PlacementRequest = {
	dataCentre: 'a',
	model: 'm',
	prefixes: [],
	excluded: [],
};

const candidates = fc.uniqueArray(
	fc.record({
		id: fc.constantFrom('1', '2', '3', '4', '5', '6'),
		state: fc.constantFrom('serving' as const, 'leaving' as const),
		inFlight: fc.nat(9),
		running: fc.nat(9),
		prefixes: fc.subarray(['p', 'q']),
		suspects: fc.subarray(['s', 't']),
		models: fc.subarray(['m', 'n']),
	}),
	{selector: ({id}) => id, maxLength: 6},
);

describe('chooseBackend', () => {
	it('never chooses a server that is excluded, leaving, full or without the model', () => {
		fc.assert(
			fc.property(
				candidates,
				fc.subarray(['1', '2', '3']),
				fc.option(fc.constantFrom('s', 't'), {nil: undefined}),
				fc.double({min: 0, max: 0.999, noNaN: true}),
				(drawn, excluded, suspect, random) => {
					const view = drawn.map(({running, prefixes, ...rest}) =>
						createCandidate(rest.id, {
							...rest,
							report: {running, waiting: 0, inFlightAtReport: 0},
							cachedPrefixes: new Set(prefixes),
						}),
					);
					const isAllowed = (candidate: Candidate) =>
						candidate.state === 'serving' &&
						candidate.models.includes('m') &&
						!excluded.includes(candidate.id) &&
						estimateOccupancy(candidate) < candidate.capacity &&
						(suspect === undefined ||
							candidate.suspects.every((other) => other === suspect));
					const chosen = chooseBackend(
						view,
						{...request, excluded, suspect, prefixes: ['p', 'q']},
						random,
					);
					return chosen === undefined
						? !view.some(isAllowed)
						: isAllowed(chosen);
				},
			),
			{seed: SEED, numRuns: 2000},
		);
	});

	it('prefers a server that caches the prefix unless it is busy', () => {
		const idle = createCandidate('idle');
		const cachedPrefixes = new Set(['p']);
		const holder = createCandidate('holder', {cachedPrefixes, inFlight: 1});
		const busy = createCandidate('holder', {cachedPrefixes, inFlight: 7});
		const asked = {...request, prefixes: ['p']};
		expect(chooseBackend([idle, holder], asked, 0.5)?.id).toBe('holder');
		expect(chooseBackend([idle, busy], asked, 0.5)?.id).toBe('idle');
	});

	it('prefers another data centre after a failure', () => {
		const same = createCandidate('same');
		const other = createCandidate('other', {dataCentre: 'b', inFlight: 4});
		const asked = {...request, failedDataCentres: ['a']};
		expect(chooseBackend([same, other], asked, 0.5)?.id).toBe('other');
		expect(chooseBackend([same], asked, 0.5)?.id).toBe('same');
	});

	it('spreads the choices of entries with the same candidates', () => {
		const view = Array.from({length: 12}, (_, i) => createCandidate(`${i}`));
		const chosen = Array.from(
			{length: 12},
			(_, i) => chooseBackend(view, request, i / 12)?.id,
		);
		expect(new Set(chosen).size).toBeGreaterThan(5);
	});

	it('places a suspect on the same backend server at each entry', () => {
		const view = Array.from({length: 6}, (_, i) => createCandidate(`${i}`));
		const asked = {...request, suspect: 's'};
		const [first, second] = [0.1, 0.9].map(
			(random) => chooseBackend(view, asked, random)?.id,
		);
		expect(first).toBeDefined();
		expect(second).toBe(first);
	});

	it('places suspects with a shared order on different backend servers', () => {
		const view = Array.from({length: 6}, (_, i) => createCandidate(`${i}`));
		const suspects = [...'stuvwxyzabcd'];
		const chosen = suspects.map(
			(suspect) =>
				chooseBackend(view, {...request, suspect, suspects}, 0.5)?.id,
		);
		expect(new Set(chosen.slice(0, 6)).size).toBe(6);
		expect(new Set(chosen.slice(6)).size).toBe(6);
		const alone = suspects.map(
			(suspect) => chooseBackend(view, {...request, suspect}, 0.5)?.id,
		);
		expect(new Set(alone.slice(0, 6)).size).toBeLessThan(6);
	});

	// A request crashes two servers, and entries retry the other requests that ran
	// on them. If its next server also runs one of those, the next crash counts
	// against that request as well.
	it('places the leading suspect on a server without other suspects of its crashes', () => {
		const view = Array.from({length: 8}, (_, i) => createCandidate(`${i}`));
		const choose = (
			servers: typeof view,
			asked: Partial<PlacementRequest>,
		): string | undefined =>
			chooseBackend(servers, {...request, ...asked}, 0.5)?.id;
		Array.from({length: 50}, (_, i) => `killer-${i}`).forEach((killer) => {
			const first = ['a', 'b', killer].toSorted();
			const places = new Map(
				first.map((suspect) => [
					suspect,
					choose(view, {suspect, suspects: first}),
				]),
			);
			const crashedServer = places.get(killer);
			const remainingServers = view.filter(({id}) => id !== crashedServer);
			const quarantine = {suspects: [...first, 'x', 'y'], leading: killer};
			const nextServer = choose(remainingServers, {
				...quarantine,
				suspect: killer,
				excluded: [crashedServer!],
			});
			const victims = ['x', 'y'].map((suspect) =>
				choose(remainingServers, {
					...quarantine,
					suspect,
					excluded: [crashedServer!],
				}),
			);
			expect([places.get('a'), places.get('b'), ...victims]).not.toContain(
				nextServer,
			);
		});
	});

	it('adjusts an old report by its own requests since', () => {
		const report = {running: 4, waiting: 1, inFlightAtReport: 2};
		expect(estimateOccupancy(createCandidate('1', {report, inFlight: 5}))).toBe(
			8,
		);
	});
});

describe('countFreeSlots', () => {
	const report = {running: 0, waiting: 0, inFlightAtReport: 0};

	it('gives each entry its share once per report', () => {
		const fresh = createCandidate('1', {report});
		expect(countFreeSlots([fresh], 4)).toBe(2);
		const started = createCandidate('1', {report, inFlight: 2});
		expect(countFreeSlots([started], 4)).toBe(0);
	});

	it('lets every entry use the last slot', () => {
		const almostFull = createCandidate('1', {report: {...report, running: 7}});
		expect(countFreeSlots([almostFull], 4)).toBe(1);
		const full = createCandidate('1', {report: {...report, running: 8}});
		expect(countFreeSlots([full], 4)).toBe(0);
	});
});
