import process from 'node:process';
import {afterEach, describe, expect, it, vi} from 'vitest';
import {createLogger, installLogWriter} from '../../logs.js';

function collectLines(): string[] {
	const lines: string[] = [];
	vi.spyOn(process.stderr, 'write').mockImplementation((line) => {
		lines.push(String(line));
		return true;
	});
	return lines;
}

describe('installLogWriter', () => {
	afterEach(() => {
		vi.restoreAllMocks();
	});

	it('writes lines at or above its level, prefixed with the component', () => {
		const lines = collectLines();
		installLogWriter('info');
		const log = createLogger('entry.lease');
		log.debug('Not this.');
		log.info('Renewed.', {version: 3});
		expect(lines.map((line) => JSON.parse(line) as unknown)).toMatchObject([
			{message: 'entry.lease: Renewed.', context: {version: 3}},
		]);
	});
});
