import {spawnSync} from 'node:child_process';
import {
	mkdirSync,
	readdirSync,
	readFileSync,
	rmSync,
	writeFileSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

const ROOT = path.resolve(import.meta.dirname, '../../../../..');
/** In the repository, so that the examples find the packages. */
const FOLDER = path.join(ROOT, 'coverage/readme-examples');
/** Examples are compiled and run; fragments need a surrounding program and are not. */
const EXAMPLE_PATTERN = /^```ts\n(.*?)^```/gms;
const RUN_TIMEOUT_MS = 60_000;
const COMPILER_OPTIONS = [
	'--noEmit',
	'--strict',
	'--skipLibCheck',
	'--target',
	'es2023',
	'--module',
	'nodenext',
	'--types',
	'node',
];

const examples = readdirSync(path.join(ROOT, 'packages')).flatMap((name) => {
	const readme = readFileSync(
		path.join(ROOT, 'packages', name, 'README.md'),
		'utf8',
	);
	return [...readme.matchAll(EXAMPLE_PATTERN)].map(([, code = ''], i) => ({
		name: `${name}-${i + 1}`,
		code,
	}));
});

beforeAll(() => {
	mkdirSync(FOLDER, {recursive: true});
	examples.forEach(({name, code}) => {
		writeFileSync(path.join(FOLDER, `${name}.ts`), code);
	});
});

afterAll(() => {
	rmSync(FOLDER, {recursive: true, force: true});
});

describe('examples in the READMEs', () => {
	it('exist for most packages', () => {
		expect(examples.length).toBeGreaterThanOrEqual(14);
	});

	it(
		'compile',
		() => {
			const files = examples.map(({name}) => path.join(FOLDER, `${name}.ts`));
			const compiler = path.join(ROOT, 'node_modules/typescript/bin/tsc');
			// The compiler writes its errors to the standard output.
			const {stdout} = spawnSync(
				process.execPath,
				[compiler, ...COMPILER_OPTIONS, ...files],
				{cwd: ROOT, encoding: 'utf8'},
			);
			expect(stdout).toBe('');
		},
		RUN_TIMEOUT_MS,
	);

	it.each(examples)(
		'$name runs',
		({name}) => {
			const file = path.join(FOLDER, `${name}.ts`);
			const {stderr, status} = spawnSync(
				process.execPath,
				['--import', 'tsx', file],
				{cwd: ROOT, encoding: 'utf8', timeout: RUN_TIMEOUT_MS / 2},
			);
			expect(stderr).toBe('');
			expect(status).toBe(0);
		},
		RUN_TIMEOUT_MS,
	);
});
