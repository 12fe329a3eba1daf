// Guards against messages on the callers' port that end an entry or fill its memory.
import {expect, it} from 'vitest';
import {parseOriginReports} from '../../index.js';

const report = ['key', 'model', 'v1', 30_000, 'e-1/5000', 20];
const write = (origins: unknown): string => JSON.stringify({origins});

it.each([
	['with a beginning', report],
	['without one', report.slice(0, 4)],
	['of a later build', [...report, 'more']],
])('reads an origin %s', (_, origin) => {
	expect(parseOriginReports(write([origin]))).toEqual([origin]);
});

it.each([
	['no JSON', 'origins'],
	['no object', 'null'],
	['no list', write({})],
	['no origin', write(['key'])],
	['an empty key', write([['', 'model', 'v1', 1]])],
	['a long key', write([['k'.repeat(300), 'model', 'v1', 1]])],
	['no version', write([['key', 'model', null, 1]])],
	['a negative time', write([['key', 'model', 'v1', -1]])],
	['a time that is too long', write([['key', 'model', 'v1', 1e9]])],
	['too many', write(Array.from({length: 401}, () => report))],
])('rejects a message with %s', (_, text) => {
	expect(parseOriginReports(text)).toBeUndefined();
});
