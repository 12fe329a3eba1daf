import {describe, expect, it} from 'vitest';
import {findHeadFault, isCloseDelimited} from '../../answer-head.js';

// Node.js reads heads that it refuses to write: the exception ends the entry.
describe('findHeadFault', () => {
	it.each([200, 204, 304, 404, 500, 599])('accepts status %i', (statusCode) => {
		const rawHeaders = ['Content-Type', 'a b', 'X_y.z-1', ''];
		expect(findHeadFault({statusCode, rawHeaders})).toBeUndefined();
	});

	it.each([undefined, 0, 50, 99, 101, 600, 999])(
		'finds status %s malformed',
		(statusCode) => {
			expect(findHeadFault({statusCode, rawHeaders: []})).toContain('status');
		},
	);

	it.each(['a b', '', 'a:', 'é'])('finds the name %j malformed', (name) => {
		const rawHeaders = ['A', '1', name, '2'];
		expect(findHeadFault({statusCode: 200, rawHeaders})).toContain('name');
	});

	// A body in a coding that is not undone reaches the caller as if it had none.
	it.each([
		[['Transfer-Encoding', 'Chunked'], undefined],
		[['transfer-encoding', 'identity'], undefined],
		[['Transfer-Encoding', 'chunk'], 'unknown transfer coding'],
		[['Transfer-Encoding', 'gzip, chunked'], 'unknown transfer coding'],
		[
			['Transfer-Encoding', 'gzip', 'Transfer-Encoding', 'chunked'],
			'unknown transfer coding',
		],
	])('knows the transfer coding of %j: %s', (rawHeaders, expected) => {
		expect(findHeadFault({statusCode: 200, rawHeaders})).toBe(expected);
	});
});

// A reset behind such an answer is reported as its end.
describe('isCloseDelimited', () => {
	it.each([
		[[], true],
		[['Transfer-Encoding', 'identity'], true],
		[['X', 'content-length'], true],
		[['transfer-encoding', 'chunked'], false],
		[['Content-Length', '0'], false],
	])('of a head with %j: %s', (rawHeaders, expected) => {
		expect(isCloseDelimited(rawHeaders)).toBe(expected);
	});
});
