import {expect, it} from 'vitest';
import {
	decideStarts,
	NO_STARTS,
	recordArrival,
	type StartEngine,
	type StartInput,
	type StartRequest,
} from '../../starts.js';

let order = 0;

function createRequest(
	id: string,
	fields: Partial<StartRequest> = {},
): StartRequest {
	order += 1;
	return {
		id,
		priority: 0,
		customer: '',
		promptTokens: 5000,
		memoryTokens: 5500,
		order,
		arrivedAt: 0,
		targetAt: 4000,
		deadlineAt: 25_000,
		excluded: [],
		failedDataCentres: [],
		...fields,
	};
}

function createEngine(
	id: string,
	fields: Partial<StartEngine> = {},
): StartEngine {
	return {
		id,
		dataCentre: 'a',
		softwareVersion: '',
		position: 0,
		slots: 12,
		memoryTokens: 55_000,
		running: 0,
		usedTokens: 0,
		prefillTokens: 0,
		recentStarts: 0,
		unreportedEnds: 0,
		unchangedMs: 0,
		tokensPerMs: 5,
		...fields,
	};
}

const ONE_SLOT = {running: 11};
const FULL = {running: 12};

function createInput(
	waiting: readonly StartRequest[],
	engines: readonly StartEngine[],
	fields: Partial<StartInput> = {},
): StartInput {
	return {
		waiting,
		engines,
		positions: engines.length,
		dataCentre: 'a',
		rank: 0,
		instances: 1,
		othersWaiting: [],
		tokensPerMs: 5,
		now: 0,
		random: 0,
		...fields,
	};
}

function listStarts(input: StartInput, state = NO_STARTS): readonly string[] {
	return decideStarts(state, input).starts.map(({id}) => id);
}

it('starts resumed streams first, the nearest to its end before the others', () => {
	const waiting = [
		createRequest('urgent'),
		createRequest('lost early', {priority: 2, resumedAfterMs: 100}),
		createRequest('lost late', {priority: 2, resumedAfterMs: 5000}),
	];
	const engines = ['1', '2', '3'].map((id) => createEngine(id, ONE_SLOT));
	expect(listStarts(createInput(waiting, engines))).toEqual([
		'lost late',
		'lost early',
		'urgent',
	]);
});

it('starts by priority, then by the latest start, and late ones last', () => {
	const waiting = [
		createRequest('late', {targetAt: 900}),
		createRequest('patient', {priority: 2}),
		createRequest('urgent', {targetAt: 4000}),
		createRequest('more urgent', {targetAt: 3000}),
	];
	const engines = ['1', '2', '3', '4'].map((id) => createEngine(id, ONE_SLOT));
	expect(listStarts(createInput(waiting, engines))).toEqual([
		'more urgent',
		'urgent',
		'patient',
		'late',
	]);
});

it('divides starts among customers who wait with the same priority', () => {
	const waiting = [
		...['1', '2', '3'].map((id) =>
			createRequest(`many ${id}`, {customer: 'many'}),
		),
		createRequest('few', {customer: 'few', targetAt: 10_000}),
	];
	const engines = ['1', '2'].map((id) => createEngine(id, ONE_SLOT));
	expect(listStarts(createInput(waiting, engines))).toEqual(['many 1', 'few']);
});

it('lets the one that waited longest start now and then during a flood of urgent ones', () => {
	const patient = createRequest('patient', {priority: 2, targetAt: 1e6});
	const started: string[] = [];
	let state = NO_STARTS;
	for (let i = 0; i < 20; i += 1) {
		const waiting = [patient, createRequest('urgent', {targetAt: 1e5})];
		const engine = createEngine('1', ONE_SLOT);
		const decision = decideStarts(state, createInput(waiting, [engine]));
		({state} = decision);
		started.push(...decision.starts.map(({id}) => id));
	}

	expect(started.filter((id) => id === 'patient')).toHaveLength(1);
});

it('keeps memory for a large prompt that smaller ones would pass for ever', () => {
	const large = createRequest('large', {
		promptTokens: 15_000,
		memoryTokens: 16_000,
		targetAt: 10_000,
	});
	const small = createRequest('small', {arrivedAt: 4900, targetAt: 9000});
	const engine = createEngine('1', {usedTokens: 45_000, running: 5});
	const early = createInput([large, small], [engine], {now: 1000});
	expect(listStarts(early)).toEqual(['small']);
	expect(listStarts({...early, now: 5000})).toEqual([]);
});

it('never exceeds slots and memory, whatever waits', () => {
	const waiting = Array.from({length: 30}, (_, i) => createRequest(`${i}`));
	const engine = createEngine('1', {tokensPerMs: undefined});
	const input = createInput(waiting, [engine], {tokensPerMs: undefined});
	expect(listStarts(input)).toHaveLength(10);
});

// Urgent streams waited for an engine without prompts, and were refused in the end, although
// engines admit them before the prompts that they hold.
it('starts an urgent prompt at an engine with others ahead, and a patient one behind them', () => {
	const urgent = createRequest('urgent');
	const patient = createRequest('patient', {priority: 2, targetAt: 10_000});
	const state = [urgent, patient, patient].reduce(recordArrival, NO_STARTS);
	const busy = createEngine('1', {prefillTokens: 16_000});
	expect(listStarts(createInput([urgent], [busy]), state)).toEqual(['urgent']);
	expect(listStarts(createInput([patient], [busy]), state)).toEqual([
		'patient',
	]);
	const busier = createEngine('1', {prefillTokens: 50_000});
	expect(listStarts(createInput([patient], [busier]), state)).toEqual([]);
});

// Without requests that it overtakes, an urgent one is served after those ahead.
it('starts no urgent prompt behind others of its kind that make it late', () => {
	const urgent = createRequest('urgent');
	const state = recordArrival(NO_STARTS, urgent);
	const busy = createEngine('1', {prefillTokens: 16_000});
	expect(listStarts(createInput([urgent], [busy]), state)).toEqual([]);
});

// Slots that the entries give away by turns kept urgent streams waiting for over a second.
it('starts an urgent stream at a full engine where a slot becomes free in time', () => {
	const urgent = createRequest('urgent');
	const patient = createRequest('patient', {priority: 2, targetAt: 10_000});
	const state = [urgent, patient, patient].reduce(recordArrival, NO_STARTS);
	const list = (
		request: StartRequest,
		fields: Partial<StartEngine>,
		holdMs: number,
	) =>
		listStarts(
			createInput([request], [createEngine('1', fields)], {holdMs}),
			state,
		);
	expect(list(urgent, FULL, 6000)).toEqual(['urgent']);
	expect(list(patient, FULL, 6000)).toEqual([]);
	expect(list(urgent, {running: 13}, 6000)).toEqual([]);
	expect(list(urgent, FULL, 20_000)).toEqual([]);
});

// With nothing started, an estimate that is too low would never be corrected.
it('starts a patient prompt at an idle engine, however slow it is thought to be', () => {
	const state = recordArrival(NO_STARTS, createRequest('urgent'));
	const patient = createRequest('patient', {priority: 2, targetAt: 10_000});
	const idle = createEngine('1', {tokensPerMs: 1});
	expect(listStarts(createInput([patient], [idle]), state)).toEqual([
		'patient',
	]);
});

// Entries that see the same free slot must not all use it, nor leave it for ever, also
// while no control instance says at which entries work waits.
it('gives the last free slot to one entry, and later to the next', () => {
	const waiting = [createRequest('1')];
	const listTakers = (fields: Partial<StartInput>, unchangedMs = 0) =>
		[0, 1, 2, 3].filter((rank) => {
			const engine = createEngine('1', {...ONE_SLOT, unchangedMs});
			const input = {rank, instances: 4, ...fields};
			return listStarts(createInput(waiting, [engine], input)).length > 0;
		});
	expect(listTakers({})).toHaveLength(1);
	expect(listTakers({}, 700)).toHaveLength(2);
	expect(listTakers({waitingRanks: [0, 2]})).toHaveLength(1);
	expect(listTakers({waitingRanks: [2]})).toEqual([2]);
});

it('refuses at arrival what the work ahead makes late, and keeps the rest', () => {
	const waiting = Array.from({length: 10}, (_, i) => createRequest(`${i}`));
	const input = createInput(waiting, [createEngine('1', FULL)]);
	const {refusals} = decideStarts(NO_STARTS, input);
	expect(refusals.map(({id}) => id)).toEqual(['4', '5', '6', '7', '8', '9']);
	expect(refusals.map(({reason}) => reason)).toContain('cannot-be-on-time');
});

it('counts what waits elsewhere with the same or a higher priority', () => {
	const patient = createRequest('patient', {priority: 2});
	const urgent = createRequest('urgent');
	const input = createInput([patient, urgent], [createEngine('1', FULL)], {
		othersWaiting: [0, 0, 30_000],
	});
	const {refusals} = decideStarts(NO_STARTS, input);
	expect(refusals.map(({id}) => id)).toEqual(['patient']);
});

it('asks refused callers to come when the queue is drained, within a third of their time', () => {
	const urgent = createRequest('urgent', {targetAt: 2500, deadlineAt: 25_000});
	const input = createInput([urgent], [createEngine('1', FULL)], {
		othersWaiting: [20_000],
	});
	const [first] = decideStarts(NO_STARTS, input).refusals;
	const [other] = decideStarts(NO_STARTS, {...input, random: 0.9}).refusals;
	expect(first?.retryAfterMs).toBeCloseTo(3000);
	expect(other?.retryAfterMs).toBeCloseTo(4800);
	const short = {...urgent, deadlineAt: 6000};
	const [capped] = decideStarts(NO_STARTS, {
		...input,
		waiting: [short],
		random: 0.999,
	}).refusals;
	expect(capped?.retryAfterMs).toBeLessThanOrEqual(2000);
});

it('refuses at once what is larger than an empty engine', () => {
	const huge = createRequest('huge', {memoryTokens: 60_000});
	const input = createInput([huge], [createEngine('1')]);
	expect(decideStarts(NO_STARTS, input).refusals[0]?.reason).toBe('too-large');
});

it('never refuses a stream that may have run', () => {
	const lost = createRequest('lost', {resumedAfterMs: 0});
	const input = createInput([lost], [createEngine('1', FULL)], {now: 24_999});
	const decision = decideStarts(NO_STARTS, input);
	expect([decision.starts, decision.refusals]).toEqual([[], []]);
});

it('bounds the queue, and keeps the first in order', () => {
	const waiting = Array.from({length: 300}, (_, i) =>
		createRequest(`${i}`, {targetAt: 1e9, deadlineAt: 1e9}),
	);
	const input = createInput(waiting, [createEngine('1', FULL)]);
	const {refusals} = decideStarts(NO_STARTS, input);
	expect(refusals).toHaveLength(44);
	expect(refusals[0]?.id).toBe('256');
});
