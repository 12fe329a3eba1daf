import {describe, expect, it} from 'vitest';
import {findHeadFault} from '../../answer-head.js';

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
});
