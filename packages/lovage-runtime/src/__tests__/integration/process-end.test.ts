import {execFile} from 'node:child_process';
import process from 'node:process';
import {expect, it} from 'vitest';

const RUNTIME = JSON.stringify(
	new URL('../../../dist/index.js', import.meta.url).href,
);

type LogLine = Readonly<{message: string; context: Record<string, unknown>}>;

type End = Readonly<{exitCode: unknown; lines: readonly LogLine[]}>;

/** Runs a program that logs a line and ends by itself. */
async function runToEnd(ending: string): Promise<End> {
	const program = `
		import * as runtime from ${RUNTIME};
		const writer = runtime.installStdoutLogWriter();
		const log = runtime.createRateLimitedLogger('program', () => performance.now());
		runtime.logProcessEnd(log, writer.flushBlocking);
		log.info('Started.');
		${ending}
	`;
	return new Promise((resolve) => {
		execFile(
			process.execPath,
			['--input-type=module', '--eval', program],
			(error, stdout) => {
				resolve({
					exitCode: error?.code,
					lines: stdout
						.trim()
						.split('\n')
						.map((line) => JSON.parse(line) as LogLine),
				});
			},
		);
	});
}

// The last line of a process was an arbitrary one, and the lines that waited were lost.
it('names an error that was thrown in a callback in the last line', async () => {
	const end = await runToEnd(
		`setTimeout(() => { throw new RangeError('port 80800'); }, 1);
		setInterval(() => undefined, 1000);`,
	);
	expect(end.exitCode).toBe(1);
	expect(end.lines[0]!.message).toBe('program: Started.');
	expect(end.lines.at(-1)!.message).toBe(
		'program: The process ends: nothing caught an error.',
	);
	expect(end.lines.at(-1)!.context.origin).toBe('uncaughtException');
	expect(end.lines.at(-1)!.context.reason).toMatch(/^RangeError: port 80800\n/);
});

it('names a rejection that nothing handled in the last line', async () => {
	const end = await runToEnd(
		`void Promise.reject(new Error('no answer'));
		setInterval(() => undefined, 1000);`,
	);
	expect(end.exitCode).toBe(1);
	expect(end.lines.at(-1)!.context).toMatchObject({
		origin: 'unhandledRejection',
		exitCode: 1,
	});
	expect(end.lines.at(-1)!.context.reason).toMatch(/^Error: no answer\n/);
});

it('bounds what an error says', async () => {
	const end = await runToEnd(`throw new Error('x'.repeat(1_000_000));`);
	expect(String(end.lines.at(-1)!.context.reason).length).toBeLessThan(3000);
});

it('says that a program waits for something that cannot happen', async () => {
	const end = await runToEnd('await new Promise(() => undefined);');
	expect(end.exitCode).toBe(13);
	expect(end.lines.at(-1)!.message).toBe(
		'program: The process ends: nothing is left to wait for.',
	);
});
