// Runs one case: exit status 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
import process from 'node:process';
import {createRecord, type Recorder} from './record.js';
import {startSystem, type System} from './system.js';

/** What a case plays with. */
export type CaseContext = Readonly<{
	record: Recorder;
	system: System;
	/** Whether the disruption takes place. */
	hasTrouble: boolean;
	addCleanup: (cleanup: () => void) => void;
}>;

/** Whether the rule was broken, and what was counted. */
export type Outcome = Readonly<{isBroken: boolean; counted: string}>;

const LIMIT_MS = 110_000;
const BROKEN = 1;
const HELD = 0;
const COULD_NOT_RUN = 2;

/** Plays a case on a new system, and ends everything that was started. */
export async function runCase(
	entryCount: number,
	play: (context: CaseContext) => Promise<Outcome>,
): Promise<void> {
	const folder = process.argv[2] ?? '.';
	const record = createRecord(folder);
	const hasTrouble = process.env.TROUBLE !== '0';
	record(hasTrouble ? 'with the disruption' : 'without the disruption');
	const cleanups: Array<() => void> = [];
	let system: System | undefined;
	let isOver = false;

	const finish = async (status: number, result: string): Promise<void> => {
		if (isOver) {
			return;
		}

		isOver = true;
		record(result);
		cleanups.forEach((cleanup) => {
			cleanup();
		});
		await system?.stop();
		record(`exit status ${status}`);
		process.stdout.write(`${result}\n`);
		// eslint-disable-next-line unicorn/no-process-exit -- the status is the result
		process.exit(status);
	};

	const giveUp = (cause: unknown): void => {
		const reason = cause instanceof Error ? cause.stack : String(cause);
		void finish(COULD_NOT_RUN, `the case could not run: ${reason ?? ''}`);
	};

	process.on('uncaughtException', giveUp);
	process.on('unhandledRejection', giveUp);
	process.on('SIGINT', giveUp);
	process.on('SIGTERM', giveUp);
	setTimeout(() => {
		giveUp('it took too long');
	}, LIMIT_MS).unref();
	try {
		system = await startSystem(record, entryCount);
		const {isBroken, counted} = await play({
			record,
			system,
			hasTrouble,
			addCleanup(cleanup) {
				cleanups.push(cleanup);
			},
		});
		await finish(isBroken ? BROKEN : HELD, counted);
	} catch (error) {
		giveUp(error);
	}
}
