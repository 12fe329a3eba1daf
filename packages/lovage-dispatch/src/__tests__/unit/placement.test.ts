import {describe, expect, it} from 'vitest';
import {
	type Candidate,
	chooseBackend,
	NO_LOAD,
	type PlacementRequest,
} from '../../index.js';

const engine = {
	slots: 96,
	memoryTokens: 55_000,
	canBackUp: true,
	canCopy: true,
};

const request: PlacementRequest = {
	dataCentre: 'a',
	promptTokens: 5000,
	memoryTokens: 6200,
	excluded: [],
	failedDataCentres: [],
	engine,
};

function createCandidate(
	id: string,
	change: Partial<Candidate> = {},
): Candidate {
	return {
		id,
		address: `${id}:80`,
		dataCentre: 'a',
		slots: 96,
		ownLoad: NO_LOAD,
		othersLoad: NO_LOAD,
		isResponsive: true,
		isAvoided: false,
		...change,
	};
}

function loaded(count: number, prefillTokens: number) {
	return {running: count, prefillTokens, memoryTokens: count * 6200};
}

describe('chooseBackend', () => {
	it('chooses the engine with the fewest prompt tokens to process', () => {
		const candidates = [
			createCandidate('busy', {ownLoad: loaded(1, 5000)}),
			createCandidate('reading-for-others', {othersLoad: loaded(2, 10_000)}),
			createCandidate('free', {othersLoad: loaded(1, 0)}),
		];
		expect(chooseBackend(candidates, request, 0)?.id).toBe('free');
	});

	it('avoids an engine whose memory is full even if it processes no prompts', () => {
		const candidates = [
			createCandidate('full', {ownLoad: loaded(8, 0)}),
			createCandidate('reading', {ownLoad: loaded(2, 10_000)}),
		];
		expect(chooseBackend(candidates, request, 0)?.id).toBe('reading');
	});

	it('spreads a burst of prompts over engines with equal load', () => {
		const candidates = ['x', 'y', 'z'].map((id) => createCandidate(id));
		const chosen = [0, 0.4, 0.8].map(
			(random) => chooseBackend(candidates, request, random)?.id,
		);
		expect(new Set(chosen).size).toBe(3);
	});

	// Links between data centres lose packets, which delays events of streams.
	it('stays in its own data centre unless that costs the time of a whole prompt', () => {
		const choose = (prefillTokens: number): ReadonlySet<string | undefined> => {
			const candidates = [
				createCandidate('near', {othersLoad: loaded(1, prefillTokens)}),
				createCandidate('far', {dataCentre: 'b', othersLoad: loaded(1, 0)}),
			];
			const draws = [0, 0.3, 0.6, 0.9];
			return new Set(
				draws.map((random) => chooseBackend(candidates, request, random)?.id),
			);
		};

		expect(choose(0)).toEqual(new Set(['near']));
		expect(choose(2500)).toEqual(new Set(['near']));
		expect(choose(10_000)).toEqual(new Set(['far']));
	});

	it('spreads the choices of instances with the same reports', () => {
		const candidates = [0, 1, 2, 3, 4, 5].map((running) =>
			createCandidate(`e-${running}`, {othersLoad: loaded(running, 0)}),
		);
		const chosen = [0.05, 0.25, 0.45, 0.65, 0.85].map(
			(random) => chooseBackend(candidates, request, random)?.id,
		);
		expect(new Set(chosen).size).toBeGreaterThanOrEqual(4);
	});

	it('counts its own load since the last reports, so that a burst is spread evenly', () => {
		const held = new Map<string, number>();
		const place = (random: number): void => {
			const candidates = ['w', 'x', 'y', 'z'].map((id) =>
				createCandidate(id, {
					ownLoad: loaded(held.get(id) ?? 0, (held.get(id) ?? 0) * 5000),
				}),
			);
			const {id} = chooseBackend(candidates, request, random)!;
			held.set(id, (held.get(id) ?? 0) + 1);
		};

		Array.from({length: 12}, (_, i) => ((i * 7) % 10) / 10).forEach(place);
		expect([...held.values()]).toEqual([3, 3, 3, 3]);
	});

	it('avoids a data centre where the request has just failed', () => {
		const candidates = [
			createCandidate('near'),
			createCandidate('far', {dataCentre: 'b', ownLoad: loaded(1, 5000)}),
		];
		const chosen = chooseBackend(
			candidates,
			{...request, failedDataCentres: ['a']},
			0,
		);
		expect(chosen?.id).toBe('far');
	});

	it('uses an avoided or unresponsive backend server only when no other is left', () => {
		const avoided = createCandidate('avoided', {isAvoided: true});
		const silent = createCandidate('silent', {isResponsive: false});
		const calm = createCandidate('calm', {ownLoad: loaded(5, 25_000)});
		expect(chooseBackend([avoided, silent, calm], request, 0)?.id).toBe('calm');
		expect(chooseBackend([avoided, silent], request, 0)?.id).toBe('silent');
		expect(chooseBackend([avoided], request, 0)?.id).toBe('avoided');
	});

	it('never returns an excluded backend server', () => {
		const only = createCandidate('only');
		const chosen = chooseBackend([only], {...request, excluded: ['only']}, 0);
		expect(chosen).toBeUndefined();
	});

	it('balances plain requests by their share of the slots', () => {
		const plain = {
			...request,
			promptTokens: 0,
			memoryTokens: 0,
			engine: undefined,
		};
		const candidates = [
			createCandidate('small', {slots: 2, ownLoad: loaded(1, 0)}),
			createCandidate('large', {slots: 12, ownLoad: loaded(3, 0)}),
		];
		expect(chooseBackend(candidates, plain, 0)?.id).toBe('large');
	});
});
