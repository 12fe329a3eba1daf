import {describe, expect, test} from 'vitest';
import {logModels} from '../../index.js';

const violations: Readonly<Record<string, string>> = {
	voteOncePerTerm: 'a term has one leader',
	syncBeforeVote: 'a term has one leader',
	logUpToDateCheck: 'a committed entry is never replaced',
	syncBeforeAcknowledge: 'a committed entry is never replaced',
	commitOwnTermOnly: 'a committed entry is never replaced',
	readNeedsQuorum: 'a confirmed read is never stale',
	readNeedsOwnTermCommit: 'a confirmed read is never stale',
	oneChangeAtATime: 'a committed entry is never replaced',
	newIdentityAfterLostDisk: 'a term has one leader',
	learnerBeforeVoter: 'a new voter has caught up',
	preVote: 'a leader with a quorum stays',
	checkQuorum: 'a leader with a quorum stays',
};

describe.each(logModels)('$name', (model) => {
	test('every reachable state keeps the invariants', () => {
		const {violation, states} = model.run([]);
		expect(violation).toBeUndefined();
		expect(states).toBeGreaterThan(1000);
	});

	test.each(model.guards)('without %s an invariant breaks', (guard) => {
		const {violation} = model.run([guard]);
		expect(violation?.invariant).toBe(violations[guard]);
		expect(violation?.path.length).toBeGreaterThan(0);
	});
});
