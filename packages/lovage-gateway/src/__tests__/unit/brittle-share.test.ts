import {expect, it} from 'vitest';
import {playBrittleService} from './brittle-service.js';

/** Load of the test over sockets, 0.4 of what the backend servers can take, without its warm-up. */
const CALM = {
	entries: 16,
	backends: 3,
	slots: 4,
	workMs: 300,
	perSecond: 16,
	durationMs: 8000,
};

// Entries with a slot lost it for eight seconds by one rejection that others had
// caused, and those without any had a chance of their own at each backend server.
it('each entry serves at least half of its callers while there is room', () => {
	const worst = Array.from({length: 40}, (_, index) =>
		Math.min(...playBrittleService({...CALM, seed: index + 1}).servedByEntry),
	);
	expect(Math.min(...worst)).toBeGreaterThanOrEqual(0.5);
});
