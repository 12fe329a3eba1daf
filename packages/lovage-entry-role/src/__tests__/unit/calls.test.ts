import {describe, expect, it} from 'vitest';
import {createServingEntry, listRefusals, filterEffects} from '../fixture.js';

describe('non-idempotent calls', () => {
	it('open no connection before the claim is granted', () => {
		const entry = createServingEntry();
		const asked = entry.requestCall('c');
		expect(filterEffects(asked, 'connect-call')).toEqual([]);
		expect(filterEffects(asked, 'open-claim')).toHaveLength(1);
		expect(filterEffects(entry.grantClaim('c'), 'connect-call')).toHaveLength(
			1,
		);
	});

	it('are never sent again after bytes may have been written', () => {
		const entry = createServingEntry();
		entry.requestCall('c');
		entry.grantClaim('c');
		entry.applyCallEvent('call-connected', 'c');
		const lost = entry.applyCallEvent('call-lost', 'c');
		expect(filterEffects(lost, 'connect-call')).toEqual([]);
		expect(listRefusals(lost)).toEqual(['outcome-unknown']);
		expect(filterEffects(lost, 'settle-claim')).toMatchObject([
			{outcome: {kind: 'unknown'}},
		]);
	});

	it('are retried on another backend server if no byte was written', () => {
		const entry = createServingEntry();
		entry.requestCall('c');
		const [first] = filterEffects(entry.grantClaim('c'), 'connect-call');
		const [second] = filterEffects(
			entry.applyCallEvent('call-not-sent', 'c'),
			'connect-call',
		);
		expect(second!.address).not.toBe(first!.address);
	});

	it('are not written if the process paused until the claim expired', () => {
		const entry = createServingEntry();
		entry.requestCall('c');
		entry.grantClaim('c');
		entry.now = 2000;
		const late = entry.applyCallEvent('call-connected', 'c');
		expect(filterEffects(late, 'write-call')).toEqual([]);
		expect(filterEffects(late, 'settle-claim')).toMatchObject([
			{outcome: {kind: 'not-run'}},
		]);
		expect(entry.state.view.get('p1')!.inFlight).toBe(0);
		expect(entry.state.view.get('p2')!.inFlight).toBe(0);
	});

	it('are refused as "not run" only once the claim is settled', () => {
		const entry = createServingEntry();
		entry.announce('p1', {state: 'leaving', sequence: 1});
		entry.announce('p2', {state: 'leaving', sequence: 1});
		entry.requestCall('c');
		expect(listRefusals(entry.grantClaim('c'))).toEqual([]);
		const settled = entry.apply({
			kind: 'claim-answered',
			call: 'c',
			answer: {kind: 'not-run', attempt: 1},
			now: 0,
			random: 0,
		});
		expect(filterEffects(settled, 'refuse-call')).toMatchObject([
			{refusal: {reason: 'no-backend-server', outcome: 'not-run'}},
		]);
	});

	it('are refused without an outcome if no quorum settles "not run"', () => {
		const entry = createServingEntry();
		entry.requestCall('c');
		const unavailable = () =>
			entry.apply({
				kind: 'claim-answered',
				call: 'c',
				answer: {kind: 'unavailable'},
				now: 0,
				random: 0,
			});
		expect(listRefusals(unavailable())).toEqual([]);
		const [refused] = filterEffects(unavailable(), 'refuse-call');
		expect(refused!.refusal.reason).toBe('unsettled');
		expect(refused!.refusal.outcome).toBeUndefined();
	});
});

describe('idempotent calls', () => {
	it('are retried on another backend server after a lost connection', () => {
		const entry = createServingEntry();
		const [first] = filterEffects(
			entry.requestCall('c', 'status'),
			'connect-call',
		);
		entry.applyCallEvent('call-connected', 'c');
		const [second] = filterEffects(
			entry.applyCallEvent('call-lost', 'c'),
			'connect-call',
		);
		expect(second!.address).not.toBe(first!.address);
	});

	it('are refused immediately when no backend server is left', () => {
		const entry = createServingEntry();
		entry.requestCall('c', 'status');
		entry.applyCallEvent('call-not-sent', 'c');
		expect(listRefusals(entry.applyCallEvent('call-not-sent', 'c', 2))).toEqual(
			['no-backend-server'],
		);
	});
});
