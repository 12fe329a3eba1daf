import {describe, expect, it} from 'vitest';
import {
	countRequest,
	decideRetry,
	EMPTY_BUDGET,
	isAvoided,
	decideStallAction,
	isStillSending,
	recordExchange,
	type RetryCounts,
	type RetryInputs,
	type StallInputs,
	spendRetry,
	UNKNOWN_HEALTH,
} from '../../index.js';

describe('decideRetry', () => {
	const inputs: RetryInputs = {
		isRepeatable: false,
		failure: {kind: 'lost', reason: 'reset'},
		sent: 1,
		attempts: 1,
		maxAttempts: 3,
		isQuarantined: false,
		deaths: 0,
		remainingMs: 900,
		hasBudget: true,
	};

	it('never retries a non-idempotent request that was sent', () => {
		expect(decideRetry(inputs, false).kind).toBe('fail');
	});

	it('retries a non-idempotent request that the backend server rejected without running it', () => {
		const failure = {kind: 'rejected', reason: '503'} as const;
		expect(decideRetry({...inputs, failure}, false).kind).toBe('retry');
	});

	it('does not report a request as not run if an earlier attempt may have run it', () => {
		const failure = {kind: 'not-sent', reason: 'refused'} as const;
		expect(decideRetry({...inputs, failure}, true).kind).toBe('fail');
	});

	it('refuses a request that never ran when all attempts are used', () => {
		const failure = {kind: 'rejected', reason: '503'} as const;
		const decision = decideRetry({...inputs, failure, sent: 3}, false);
		expect(decision.kind).toBe('refuse');
	});

	it('retries an idempotent request within its budget, attempts and deadline', () => {
		const repeatable = {...inputs, isRepeatable: true};
		expect(decideRetry(repeatable, false).kind).toBe('retry');
		expect(decideRetry({...repeatable, hasBudget: false}, false).kind).toBe(
			'fail',
		);
		expect(decideRetry({...repeatable, remainingMs: 5}, false).kind).toBe(
			'fail',
		);
		expect(decideRetry({...repeatable, deaths: 2}, false).kind).toBe('fail');
	});

	it('retries without budget when nothing was sent', () => {
		const failure = {kind: 'not-sent', reason: 'refused'} as const;
		const decision = decideRetry({...inputs, failure, hasBudget: false}, false);
		expect(decision.kind).toBe('retry');
	});
});

describe('retry budget', () => {
	const policy = {windowMs: 10_000, ratio: 0.1, extra: 20};

	function spendAll(requests: number, instances: number): number {
		let budget = EMPTY_BUDGET;
		for (let i = 0; i < requests; i += 1) {
			budget = countRequest(budget, policy, i);
		}

		let spent = 0;
		for (;;) {
			const next = spendRetry(budget, policy, {
				now: requests,
				instances,
				active: 1,
				roundingOffset: 0,
			});
			if (next === undefined) {
				return spent;
			}

			budget = next;
			spent += 1;
		}
	}

	it('keeps the retries of all instances within the policy when every request fails', () => {
		const instances = 4;
		const total = instances * spendAll(250, instances);
		expect(total).toBeLessThanOrEqual(
			policy.ratio * 250 * instances + policy.extra,
		);
		expect(total).toBeGreaterThan(0);
	});

	it('restores the budget after the window', () => {
		let budget = spendRetry(EMPTY_BUDGET, policy, {
			now: 0,
			instances: 20,
			active: 1,
			roundingOffset: 0,
		});
		expect(budget).toBeUndefined();
		budget = spendRetry(EMPTY_BUDGET, policy, {
			now: 0,
			instances: 1,
			active: 1,
			roundingOffset: 0,
		});
		expect(
			spendRetry(budget!, policy, {
				now: 20_000,
				instances: 1,
				active: 1,
				roundingOffset: 0,
			}),
		).toBeDefined();
	});
});

describe('isStillSending', () => {
	it('tells comments that go on from the rest of the last event', () => {
		expect(isStillSending({idleMs: 300, quietMs: 20})).toBe(true);
		expect(isStillSending({idleMs: 300, quietMs: 290})).toBe(false);
		expect(isStillSending({idleMs: 300, quietMs: 300})).toBe(false);
	});

	it('says so no more once as much time has passed without bytes as with them', () => {
		expect(isStillSending({idleMs: 400, quietMs: 200})).toBe(false);
	});

	it('says so no more half a second after the last bytes', () => {
		expect(isStillSending({idleMs: 10_000, quietMs: 499})).toBe(true);
		expect(isStillSending({idleMs: 10_000, quietMs: 500})).toBe(false);
	});
});

describe('decideStallAction', () => {
	const inputs: StallInputs = {
		idleMs: 0,
		hasFirstEvent: true,
		probe: 'none',
		msSinceProbe: 0,
		isKnownUnreachable: false,
		hasCopy: true,
		gapTargetMs: 700,
		latencyTargetMs: 4500,
	};

	it('waits first, then probes the engine', () => {
		expect(decideStallAction({...inputs, idleMs: 200})).toBe('wait');
		expect(decideStallAction({...inputs, idleMs: 260})).toBe('probe');
		const pending = {...inputs, idleMs: 400, probe: 'pending'} as const;
		expect(decideStallAction(pending)).toBe('wait');
	});

	it('moves a stream as soon as a probe fails', () => {
		const dead = {...inputs, idleMs: 400, probe: 'dead'} as const;
		expect(decideStallAction(dead)).toBe('move');
	});

	it('moves the other streams of an engine that one request found unreachable', () => {
		const known = {...inputs, isKnownUnreachable: true};
		expect(decideStallAction({...known, idleMs: 100})).toBe('wait');
		expect(decideStallAction({...known, idleMs: 180})).toBe('move');
	});

	it('moves a stream before the gap target when another engine holds a copy', () => {
		const alive = {...inputs, probe: 'alive'} as const;
		expect(decideStallAction({...alive, idleMs: 500})).toBe('wait');
		expect(decideStallAction({...alive, idleMs: 650})).toBe('move');
	});

	it('waits longer for a live engine when a move would process the prompt again', () => {
		const alone = {...inputs, probe: 'alive', hasCopy: false} as const;
		expect(decideStallAction({...alone, idleMs: 1500})).toBe('wait');
		expect(decideStallAction({...alone, idleMs: 2200})).toBe('move');
	});

	it('probes again while a prompt is processed, as the engine may die after the first probe', () => {
		const reading = {
			...inputs,
			hasFirstEvent: false,
			probe: 'alive',
			idleMs: 1200,
		} as const;
		expect(decideStallAction({...reading, msSinceProbe: 300})).toBe('wait');
		expect(decideStallAction({...reading, msSinceProbe: 450})).toBe('probe');
	});

	it('waits for the first event beyond the latency target', () => {
		const reading = {...inputs, hasFirstEvent: false, probe: 'alive'} as const;
		expect(decideStallAction({...reading, idleMs: 4500})).toBe('wait');
		expect(decideStallAction({...reading, idleMs: 5500})).toBe('move');
	});
});

describe('backend health', () => {
	it('avoids an unreachable backend server temporarily', () => {
		const health = recordExchange(UNKNOWN_HEALTH, 'unreachable', 0);
		expect(isAvoided(health, 1000)).toBe(true);
		expect(isAvoided(health, 2000)).toBe(false);
	});

	it('avoids a backend server that fails most of its requests', () => {
		const health = Array.from({length: 5}).reduce<typeof UNKNOWN_HEALTH>(
			(known) => recordExchange(known, 'failed', 0),
			UNKNOWN_HEALTH,
		);
		expect(isAvoided(health, 10)).toBe(true);
	});

	it('tolerates occasional failures', () => {
		const health = Array.from({length: 40}, (_, i) => i).reduce<
			typeof UNKNOWN_HEALTH
		>(
			(known, i) =>
				recordExchange(known, i % 6 === 0 ? 'failed' : 'answered', i),
			UNKNOWN_HEALTH,
		);
		expect(isAvoided(health, 40)).toBe(false);
	});

	// When many backend servers crash, a few of 60 instances lose several streams
	// each. An instance's own share of the budget is too small for their retries.
	it('lets an instance use the budget that the others leave, as far as all may at once', () => {
		const common = {windowMs: 10_000, ratio: 0.8, extra: 150};
		const instances = 60;
		const spendAll = (
			others?: RetryCounts,
			start = countRequest(EMPTY_BUDGET, common, 0),
			now = 0,
		) => {
			let budget = start;
			for (let spent = 0; ; spent += 1) {
				const next = spendRetry(budget, common, {
					now,
					instances,
					active: 1,
					otherCounts: others,
					roundingOffset: 0,
				});
				if (next === undefined) {
					return {spent, budget};
				}

				budget = next;
			}
		};

		expect(spendAll().spent).toBeLessThan(3);
		const few = {requests: 380, retries: 20};
		const limit = common.ratio * (1 + few.requests) + common.extra;
		expect(spendAll(few).spent).toBeGreaterThan(5);
		expect(few.retries + instances * spendAll(few).spent).toBeLessThan(limit);
		const many = {requests: 380, retries: 410};
		expect(spendAll(many).spent).toBe(spendAll().spent);
		// Once the others know of them, it may spend again.
		let {budget, spent: total} = spendAll(few);
		for (let now = 1000; now < 9000; now += 1000) {
			const next = spendAll(few, budget, now);
			budget = next.budget;
			total += next.spent;
		}

		expect(total).toBeGreaterThan(30);
	});
});
