import type {CrashReport, EntryReport} from '@lovagevalve/dispatch';
import type {QuarantineState} from '@lovagevalve/quarantine';
import {err, ok} from 'neverthrow';
import {describe, expect, it} from 'vitest';
import {
	createCrashQuarantine,
	type CrashQuarantine,
} from '../../crash-quarantine.js';
import type {QuarantineFile} from '../../quarantine-file.js';

const noop = (): undefined => undefined;
const lines: Array<Readonly<{message: string; facts: unknown}>> = [];
const log = {
	debug: noop,
	info(message: string, facts?: unknown) {
		lines.push({message, facts});
	},
	warn: noop,
	error: noop,
};
const findNone = (): undefined => undefined;

/** A data folder in memory. */
function createMemoryFile(): QuarantineFile & {isFull: boolean} {
	let content: string | undefined;
	return {
		isFull: false,
		async load() {
			return ok(
				content === undefined
					? undefined
					: (JSON.parse(content) as QuarantineState),
			);
		},
		async save(state) {
			if (this.isFull) {
				return err('the disk is full');
			}

			content = JSON.stringify(state);
			return ok();
		},
	};
}

/** Starts the quarantine of a control instance and waits until its file is read. */
async function start(file = createMemoryFile()) {
	const time = {now: 1000};
	const clock = {now: () => time.now, wall: () => time.now};
	const quarantine = createCrashQuarantine({clock, log}, file);
	await new Promise((resolve) => {
		setImmediate(resolve);
	});
	return {quarantine, time, file};
}

function crash(
	backend: string,
	digest: string,
	parts: readonly string[],
	change: Partial<CrashReport> = {},
): CrashReport {
	return {
		backend: `${backend}/1`,
		digest,
		parts,
		dataCentre: 'a',
		ageMs: 0,
		...change,
	};
}

function report(
	quarantine: CrashQuarantine,
	change: Partial<EntryReport>,
	entry = 'entry-1',
): void {
	quarantine.applyReport({entry, crashes: [], ...change}, findNone);
}

type Started = Awaited<ReturnType<typeof start>>;

/** Reports one crash a second, each from another entry. */
function reportEach(
	{quarantine, time}: Started,
	crashes: readonly CrashReport[],
): readonly string[] {
	crashes.forEach((one, i) => {
		time.now += 1000;
		report(quarantine, {crashReports: [one]}, `entry-${i}`);
	});
	time.now += 1000;
	return quarantine.describe().convicted;
}

const threeUnderOnePart = [
	crash('e-1', 'd-1', ['common', 'bad']),
	crash('e-2', 'd-2', ['common', 'bad']),
	crash('e-3', 'd-3', ['common', 'bad']),
];

describe('causes of crashes', () => {
	it('finds a whole request by the crashes that several entries report, each once', async () => {
		const {quarantine, time} = await start();
		['e-1', 'e-2', 'e-3'].forEach((backend, i) => {
			time.now += 1000;
			const crashes = [{digest: 'd', backend: `${backend}/1`}];
			report(quarantine, {crashes}, `entry-${i}`);
			report(quarantine, {crashes}, `entry-${i + 1}`);
			expect(quarantine.describe().convicted).toEqual([]);
		});
		time.now += 1000;
		expect(quarantine.describe().convicted).toEqual(['d']);
	});

	it('finds a part of prompts that crash engines while the other parts run soundly', async () => {
		const started = await start();
		const {quarantine, time} = started;
		expect(reportEach(started, threeUnderOnePart)).toEqual([]);
		expect(quarantine.describe().suspects).toContain('part:common');
		report(quarantine, {soundMs: {'part:common': 100}});
		time.now += 500;
		report(quarantine, {
			crashReports: [crash('e-4', 'd-4', ['common', 'bad'])],
		});
		time.now += 500;
		expect(quarantine.describe().convicted).toEqual(['part:bad']);
	});

	it.each([[['bad']], [['bad', 'b']], [['a', 'bad']]])(
		'finds the part wherever it stands: %j',
		async (parts) => {
			const started = await start();
			const crashes = ['e-1', 'e-2', 'e-3'].map((backend, i) =>
				crash(
					backend,
					`d-${i}`,
					parts.map((part) => (part === 'bad' ? part : `${part}${i}`)),
				),
			);
			expect(reportEach(started, crashes)).toEqual(['part:bad']);
		},
	);

	// All engines crash within a second, so no run proves that the common part is sound.
	it('tells a part from the common one that was on more of the lost requests', async () => {
		const {quarantine, time} = await start();
		const losses = [0, 1, 2, 3].flatMap((i) => [
			crash(`e-${i}`, `d-${i}`, ['common', 'bad']),
			crash(`e-${i}`, `sound-${i}`, ['common']),
		]);
		losses.forEach((loss) => {
			time.now += 200;
			report(quarantine, {crashReports: [loss]});
		});
		time.now += 500;
		expect(quarantine.describe().convicted).toEqual(['part:bad']);
	});

	it('finds two parts at the same time', async () => {
		const started = await start();
		const crashes = [0, 1, 2, 3, 4, 5].map((i) =>
			crash(`e-${i}`, `d-${i}`, [i % 2 === 0 ? 'bad' : 'worse']),
		);
		expect(reportEach(started, crashes)).toEqual(['part:bad', 'part:worse']);
	});

	it('blames the whole request and no part while only one request crashes', async () => {
		const started = await start();
		const crashes = ['e-1', 'e-2', 'e-3'].map((backend) =>
			crash(backend, 'd', ['common']),
		);
		expect(reportEach(started, crashes)).toEqual(['d']);
	});

	it('finds a request that is sent on from one server to the next within milliseconds', async () => {
		const {quarantine, time} = await start();
		lines.length = 0;
		['e-1', 'e-2', 'e-3'].forEach((backend, i) => {
			time.now += 60;
			report(
				quarantine,
				{crashReports: [crash(backend, 'd', [], {sentAgeMs: 40})]},
				`entry-${i}`,
			);
		});
		time.now += 1000;
		expect(quarantine.describe().convicted).toEqual(['d']);
		const judged = lines.filter(({message}) => message.includes('Judged'));
		expect(judged.at(-1)?.facts).toMatchObject({
			suspect: 'd',
			reason: 'convicted',
		});
	});

	it('counts sound runs only against crashes before them', async () => {
		const started = await start();
		report(started.quarantine, {soundMs: {'part:bad': 1000}});
		expect(
			reportEach(
				started,
				threeUnderOnePart.map((one) => ({...one, parts: ['bad']})),
			),
		).toEqual(['part:bad']);
	});

	it('takes a late report of another entry on a crash that was counted', async () => {
		const started = await start();
		const {quarantine, time} = started;
		reportEach(started, [
			crash('e-1', 'sound-1', ['x']),
			crash('e-2', 'd-2', ['bad']),
			crash('e-3', 'd-3', ['bad']),
		]);
		expect(quarantine.describe().convicted).toEqual([]);
		const late = crash('e-1', 'd-1', ['bad'], {ageMs: 3000});
		report(quarantine, {crashReports: [late]});
		time.now += 10;
		expect(quarantine.describe().convicted).toEqual(['part:bad']);
	});
});

describe('what no request has caused', () => {
	const rack = ['r-1', 'r-2', 'r-3', 'r-4', 'r-5'].map((backend, i) =>
		crash(backend, 'same', [], {
			dataCentre: ['a', 'b'][i % 2]!,
			ageMs: 5 - i,
			sentAgeMs: 300 + i,
		}),
	);

	// Each entry knows of some of the runs, and confirms a loss up to a second later.
	it.each([0, 100, 300, 600, 1000])(
		'blames no request that is on all servers of a rack when its last reports come %d ms late',
		async (delayMs) => {
			const {quarantine, time} = await start();
			report(quarantine, {crashReports: rack.slice(0, 2)}, 'entry-1');
			time.now += delayMs;
			const late = rack.slice(2).map((one) => ({
				...one,
				ageMs: one.ageMs + delayMs,
				sentAgeMs: one.sentAgeMs! + delayMs,
			}));
			report(quarantine, {crashReports: late}, 'entry-2');
			time.now += 1000;
			expect(quarantine.describe().convicted).toEqual([]);
		},
	);

	it('blames no request when two control instances hear different reports, and tell each other', async () => {
		const [first, second] = [await start(), await start()];
		report(first.quarantine, {crashReports: rack.slice(0, 4)});
		report(second.quarantine, {crashReports: rack.slice(1)});
		[first, second].forEach(({quarantine, time}) => {
			time.now += 1000;
			expect(quarantine.describe().convicted).toEqual([]);
		});
		second.quarantine.mergeConvictions(first.quarantine.listConvictions());
		report(second.quarantine, {
			crashReports: rack.map((one) => ({...one, ageMs: one.ageMs + 1000})),
		});
		second.time.now += 1000;
		expect(second.quarantine.describe().convicted).toEqual([]);
	});

	it('logs one line for an event, with its servers, the suspect and the reason', async () => {
		const {quarantine, time} = await start();
		lines.length = 0;
		report(quarantine, {crashReports: rack});
		time.now += 1000;
		await quarantine.maintain();
		await quarantine.maintain();
		const judged = lines.filter(({message}) => message.includes('Judged'));
		expect(judged.map(({facts}) => facts)).toMatchObject([
			{
				backends: 'r-1/1 r-2/1 r-3/1 r-4/1 r-5/1',
				died: 5,
				suspect: 'same',
				present: 5,
				strikes: 1,
				required: 3,
				reason: 'too few events',
			},
		]);
	});

	it('blames nothing when a data centre or all of them end at once', async () => {
		const {quarantine, time} = await start();
		const lost = Array.from({length: 24}, (_, i) =>
			crash(`e-${i}`, `d-${i}`, ['common', `p-${i % 3}`], {
				dataCentre: ['a', 'b', 'c'][i % 3]!,
				ageMs: i * 5,
			}),
		);
		report(quarantine, {crashReports: lost});
		time.now += 1000;
		expect(quarantine.describe().convicted).toEqual([]);
	});

	it('blames nothing when data centres end one after the other while others serve', async () => {
		const {quarantine, time} = await start();
		['a', 'b', 'c', 'a', 'b', 'c'].forEach((dataCentre, round) => {
			const lost = Array.from({length: 8}, (_, i) =>
				crash(`e-${round}-${i}`, `d-${round}-${i}`, ['common'], {dataCentre}),
			);
			time.now += 2500;
			report(quarantine, {crashReports: lost});
			time.now += 500;
			report(quarantine, {soundMs: {'part:common': 50}});
		});
		expect(quarantine.describe().convicted).toEqual([]);
	});

	it('finds a part among the deaths of a lost rack', async () => {
		const started = await start();
		const rack = ['r-1', 'r-2', 'r-3'].map((backend) =>
			crash(backend, `d-${backend}`, ['common'], {dataCentre: 'b'}),
		);
		report(started.quarantine, {crashReports: rack});
		expect(
			reportEach(
				started,
				threeUnderOnePart.map((one) => ({...one, parts: ['bad']})),
			),
		).toEqual(['part:bad']);
	});

	// A sound request that lost several engines to the part would be refused after
	// one more loss that has another cause.
	it('forgives the losses that a part has caused', async () => {
		const started = await start();
		const {quarantine, time} = started;
		[1, 2].forEach((i) => {
			report(quarantine, {
				crashReports: [
					crash(`e-${i}`, 'sound', ['x']),
					crash(`e-${i}`, `d-${i}`, ['bad']),
				],
			});
			time.now += 1000;
		});
		reportEach(started, [
			crash('e-3', 'd-3', ['bad']),
			crash('e-4', 'd-4', ['bad']),
		]);
		expect(quarantine.describe().convicted).toEqual(['part:bad']);
		expect(reportEach(started, [crash('e-9', 'sound', ['x'])])).toEqual([
			'part:bad',
		]);
	});
});

describe('ends of a verdict', () => {
	// Entries repeat a crash for three seconds, and most runs are past their start by then.
	it('is not brought back by repeated reports of crashes before a sound run', async () => {
		const {quarantine, time} = await start();
		const crashReports = ['e-1', 'e-2', 'e-3', 'e-4', 'e-5', 'e-6'].map(
			(backend, i) => crash(backend, 'd', [], {ageMs: 1500 * (6 - i)}),
		);
		report(quarantine, {crashReports});
		time.now += 500;
		expect(quarantine.describe().convicted).toEqual(['d']);
		time.now += 500;
		report(quarantine, {soundMs: {d: 100}});
		expect(quarantine.describe().convicted).toEqual([]);
		const repeated = crashReports.map((one) => ({
			...one,
			ageMs: one.ageMs + 1000,
		}));
		report(quarantine, {crashReports: repeated}, 'entry-2');
		time.now += 500;
		expect(quarantine.describe().convicted).toEqual([]);
	});

	it('ends when a run that was under way at the verdict proves sound', async () => {
		const started = await start();
		const crashes = threeUnderOnePart.map((one) => ({...one, parts: ['bad']}));
		expect(reportEach(started, crashes)).toEqual(['part:bad']);
		started.time.now += 500;
		report(started.quarantine, {soundMs: {'part:bad': 10}});
		expect(started.quarantine.describe().convicted).toEqual([]);
	});

	it('refuses one of the parts that can not be told apart after five crashes, and again after one more', async () => {
		const started = await start();
		const {quarantine, time} = started;
		const crashes = [1, 2, 3, 4, 5].map((i) =>
			crash(`e-${i}`, `d-${i}`, ['bad', 'twin']),
		);
		expect(reportEach(started, crashes.slice(0, 4))).toEqual([]);
		expect(reportEach(started, crashes.slice(4))).toEqual(['part:bad']);
		time.now += 300_000;
		await quarantine.maintain();
		expect(quarantine.describe().convicted).toEqual([]);
		time.now += 10_000;
		expect(reportEach(started, [crash('e-6', 'd-6', ['bad', 'twin'])])).toEqual(
			['part:bad'],
		);
	});

	// All instances start while engines crash, so no run has proved the common part
	// sound, and few sound requests are lost beside the guilty ones.
	it('leaves the common part alone when it can not be told apart from the guilty one', async () => {
		const started = await start();
		const {quarantine, time} = started;
		const crashes = [1, 2, 3, 4, 5, 6, 7].map((i) =>
			crash(`e-${i}`, `d-${i}`, ['common', 'guilty']),
		);
		report(quarantine, {
			crashReports: [crash('e-5', 'sound', ['common'])],
		});
		expect(reportEach(started, crashes)).toEqual(['part:guilty']);
		time.now += 1000;
		expect(
			reportEach(started, [
				crash('e-8', 'sound-2', ['common']),
				crash('e-9', 'd-9', ['common', 'guilty']),
			]),
		).toEqual(['part:guilty']);
	});

	it('finds the other part when the one that was refused first is not to blame', async () => {
		const started = await start();
		const twins = [1, 2, 3, 4, 5].map((i) =>
			crash(`e-${i}`, `d-${i}`, ['common', 'a']),
		);
		expect(reportEach(started, twins)).toEqual(['part:a']);
		const alone = [6, 7, 8].map((i) =>
			crash(`e-${i}`, `d-${i}`, ['common', `x-${i}`]),
		);
		expect(reportEach(started, alone)).toEqual(['part:a', 'part:common']);
	});
});

describe('memory', () => {
	it('keeps verdicts and strikes over a restart, and stores them once the disk takes them', async () => {
		const first = await start();
		const crashes = threeUnderOnePart.map((one) => ({...one, parts: ['bad']}));
		reportEach(first, [
			...crashes,
			crash('e-4', 'd-4', ['next']),
			crash('e-5', 'd-5', ['next']),
		]);
		first.file.isFull = true;
		await first.quarantine.maintain();
		first.file.isFull = false;
		await first.quarantine.maintain();
		const second = await start(first.file);
		expect(second.quarantine.describe().convicted).toEqual(['part:bad']);
		expect(reportEach(second, [crash('e-6', 'd-6', ['next'])])).toEqual([
			'part:bad',
			'part:next',
		]);
	});

	it('stores a verdict at once, as all instances may be killed then', async () => {
		const first = await start();
		reportEach(
			first,
			threeUnderOnePart.map((one) => ({...one, parts: ['bad']})),
		);
		const second = await start(first.file);
		expect(second.quarantine.describe().convicted).toEqual(['part:bad']);
	});

	it('finds a part that comes once in ten seconds', async () => {
		const started = await start();
		['e-1', 'e-2', 'e-3'].forEach((backend, i) => {
			started.time.now += 10_000;
			report(started.quarantine, {
				crashReports: [crash(backend, `d-${i}`, ['bad'])],
			});
		});
		started.time.now += 1000;
		expect(started.quarantine.describe().convicted).toEqual(['part:bad']);
	});

	it('learns verdicts from the other control instances', async () => {
		const first = await start();
		reportEach(
			first,
			threeUnderOnePart.map((one) => ({...one, parts: ['bad']})),
		);
		const second = await start();
		second.quarantine.mergeConvictions(first.quarantine.listConvictions());
		expect(second.quarantine.describe().convicted).toEqual(['part:bad']);
	});

	it('bounds what thousands of parts leave, and lists the leading suspects first', async () => {
		const started = await start();
		reportEach(
			started,
			Array.from({length: 700}, (_, i) =>
				crash(
					`e-${i}`,
					`d-${i}`,
					Array.from({length: 30}, (__, k) => `p-${i}-${k}`),
				),
			),
		);
		expect(
			reportEach(started, [
				crash('f-1', 'd', ['bad']),
				crash('f-2', 'd-2', ['bad']),
			]),
		).toEqual([]);
		const {suspects = []} = started.quarantine.describe();
		expect(suspects.length).toBeLessThanOrEqual(128);
		expect(suspects[0]).toBe('part:bad');
		await started.quarantine.maintain();
	});
});
