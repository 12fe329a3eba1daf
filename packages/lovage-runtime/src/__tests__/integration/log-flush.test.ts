import {execFile} from 'node:child_process';
import process from 'node:process';
import {promisify} from 'node:util';
import {expect, it} from 'vitest';

const PROGRAM = `
	import {createRateLimitedLogger, installStdoutLogWriter} from ${JSON.stringify(
		new URL('../../../dist/index.js', import.meta.url).href,
	)};
	const writer = installStdoutLogWriter();
	const log = createRateLimitedLogger('program', () => performance.now());
	log.info('Draining.');
	log.info('Drained.');
	log.info('Stopped.');
	await writer.flush(1000);
	process.exit(0);
`;

// Writes are asynchronous: a program that exits at once loses what it said last.
it('writes the last log lines before a program exits', async () => {
	const {stdout} = await promisify(execFile)(process.execPath, [
		'--input-type=module',
		'--eval',
		PROGRAM,
	]);
	const messages = stdout
		.trim()
		.split('\n')
		.map((line) => (JSON.parse(line) as {message: string}).message);
	expect(messages).toEqual([
		'program: Draining.',
		'program: Drained.',
		'program: Stopped.',
	]);
});
