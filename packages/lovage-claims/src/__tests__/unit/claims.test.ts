import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import {
	type ClaimAnswer,
	type ClaimCommand,
	type ClaimRequest,
	type ClaimsSnapshot,
	type ClaimsState,
	createClaims,
	decodeClaims,
	DEFAULT_CLAIM_LIMITS,
	encodeClaims,
	MAX_ANSWER_BYTES,
	stepClaims,
} from '../../index.js';

const RETENTION_MS = 1000;
const SEED = 20_261;

/** Claims table under test, which applies one command at a time. */
class Table {
	state: ClaimsState;

	constructor(limits = DEFAULT_CLAIM_LIMITS) {
		this.state = createClaims(limits);
	}

	apply(command: ClaimCommand, at = 0): ClaimAnswer | undefined {
		const event = {command, at, retentionMs: RETENTION_MS};
		const {state, effects} = stepClaims(this.state, event);
		this.state = state;
		return effects[0]?.answer;
	}

	open(request: Partial<ClaimRequest> = {}, at = 0) {
		return this.apply({kind: 'open', request: createRequest(request)}, at);
	}

	refuse(request: Partial<ClaimRequest> = {}, at = 0) {
		return this.apply({kind: 'refuse', request: createRequest(request)}, at);
	}

	settle(
		claim: string,
		outcome: Extract<ClaimCommand, {kind: 'settle'}>['outcome'],
		at = 0,
	) {
		const settled = {claim, customer: 'label', requestId: 'grant-1', outcome};
		return this.apply({kind: 'settle', ...settled}, at);
	}
}

function createRequest(request: Partial<ClaimRequest>): ClaimRequest {
	return {
		customer: 'label',
		requestId: 'grant-1',
		attempt: 1,
		digest: 'body-1',
		entry: 'entry-1',
		incarnation: 'a',
		...request,
	};
}

const granted = {kind: 'granted', claim: 'c1', dispatchWithinMs: 2000};
const answer = {status: 201, body: {licence: 7}};

describe('claims', () => {
	test('grants a request only once, to whichever entry asks', () => {
		const table = new Table();
		expect(table.open()).toEqual(granted);
		expect(table.open()).toEqual({kind: 'in-progress'});
		expect(table.open({entry: 'entry-2'})).toEqual({kind: 'in-progress'});
		expect(table.open({attempt: 2})).toEqual({kind: 'in-progress'});
	});

	test('repeats the grant only for a resend by the same arrival', () => {
		const table = new Table();
		table.open({copy: 'x'});
		expect(table.open({copy: 'x'})).toEqual(granted);
		expect(table.open({copy: 'y'})).toEqual({kind: 'in-progress'});
		const restarted = {copy: 'x', incarnation: 'b'};
		expect(table.open(restarted)).toEqual({kind: 'in-progress'});
	});

	test('answers a resend with the stored answer', () => {
		const table = new Table();
		table.open();
		table.settle('c1', {kind: 'done', answer});
		expect(table.open({attempt: 2})).toEqual({kind: 'done', answer});
		expect(table.refuse()).toEqual({kind: 'done', answer});
	});

	test('answers a known id with a different body as a conflict', () => {
		const table = new Table();
		table.open();
		expect(table.open({digest: 'body-2'})).toEqual({kind: 'conflict'});
		expect(table.refuse({digest: 'body-2'})).toEqual({kind: 'conflict'});
	});

	test('never dispatches an attempt that was refused', () => {
		const table = new Table();
		expect(table.refuse({attempt: 2})).toEqual({kind: 'not-run', attempt: 2});
		expect(table.open({attempt: 1})).toEqual({kind: 'not-run', attempt: 2});
		expect(table.open({attempt: 2})).toEqual({kind: 'not-run', attempt: 2});
		expect(table.open({attempt: 3})?.kind).toBe('granted');
	});

	test('ignores a refusal or settlement that is not by the holder of the claim', () => {
		const table = new Table();
		table.open();
		expect(table.refuse({attempt: 2})).toEqual({kind: 'in-progress'});
		table.settle('c9', {kind: 'not-run'});
		expect(table.open()).toEqual({kind: 'in-progress'});
	});

	test('lets the holder withdraw a grant whose answer was lost', () => {
		const table = new Table();
		table.open({copy: 'x'});
		expect(table.refuse({copy: 'x'})).toEqual({kind: 'not-run', attempt: 1});
		expect(table.open({attempt: 2})?.kind).toBe('granted');
	});

	test('never retries a lapsed claim, but accepts its outcome from the holder', () => {
		const table = new Table();
		table.open();
		table.apply({kind: 'lapse', claims: ['c1', 'c8']});
		expect(table.open({attempt: 2})).toEqual({kind: 'unknown'});
		expect(table.refuse()).toEqual({kind: 'unknown'});
		table.settle('c1', {kind: 'done', answer});
		expect(table.open()).toEqual({kind: 'done', answer});
	});

	test('does not lapse a later claim of the same request', () => {
		const table = new Table();
		table.open();
		table.settle('c1', {kind: 'not-run'});
		table.open({attempt: 2});
		table.apply({kind: 'lapse', claims: ['c1']});
		expect(table.open()).toEqual({kind: 'in-progress'});
	});

	test.each([
		['opaque', 'grant-1', 0],
		['UUIDv7', '00000000-0000-7000-8000-000000000000', 0],
		['ULID', '00000000000000000000000000', 0],
	])('refuses an %s id whose record was evicted', (_, requestId, at) => {
		const table = new Table();
		table.refuse({requestId}, at);
		const later = at + 3 * RETENTION_MS;
		table.open({requestId: 'other'}, later);
		expect(table.state.records.size).toBe(1);
		expect(table.open({requestId, attempt: 2}, later)?.kind).toBe('too-old');
		expect(table.refuse({requestId}, later)?.kind).toBe('too-old');
	});

	test('does not evict a granted claim after the retention period', () => {
		const table = new Table();
		table.open();
		const later = 5 * RETENTION_MS;
		expect(table.open({attempt: 2}, later)?.kind).toBe('in-progress');
	});

	test('refuses new ids instead of forgetting evicted ones when full', () => {
		const table = new Table({...DEFAULT_CLAIM_LIMITS, spentIds: 2});
		table.refuse({requestId: 'a'});
		table.refuse({requestId: 'b'});
		const later = 3 * RETENTION_MS;
		expect(table.open({requestId: 'c'}, later)?.kind).toBe('overloaded');
		expect(table.open({requestId: 'a'}, later)?.kind).toBe('too-old');
	});

	test('stores only the digest of an answer that is too long', () => {
		const table = new Table();
		table.open();
		const body = 'x'.repeat(MAX_ANSWER_BYTES);
		table.settle('c1', {kind: 'done', answer: {status: 200, body}});
		const stored = table.open();
		expect(stored).toMatchObject({
			kind: 'done',
			answer: {status: 200, body: {stored: 'digest', bytes: body.length + 2}},
		});
	});

	test('grants at most one dispatch in any sequence of commands and snapshots', () => {
		const command = fc.record({
			kind: fc.constantFrom(
				'open' as const,
				'refuse' as const,
				'lapse' as const,
				'done' as const,
				'restore' as const,
			),
			attempt: fc.integer({min: 1, max: 3}),
			entry: fc.constantFrom('entry-1', 'entry-2'),
			elapsed: fc.integer({min: 0, max: RETENTION_MS}),
		});
		const history = fc.array(command, {maxLength: 40});
		fc.assert(
			fc.property(history, (commands) => {
				const table = new Table();
				const grants: ClaimAnswer[] = [];
				let at = 0;
				for (const {kind, attempt, entry, elapsed} of commands) {
					at += elapsed;
					const claims = [...table.state.open.keys()];
					switch (kind) {
						case 'open': {
							const response = table.open({attempt, entry}, at);
							grants.push(...(response?.kind === 'granted' ? [response] : []));
							break;
						}

						case 'refuse': {
							table.refuse({attempt, entry}, at);
							break;
						}

						case 'restore': {
							const text = JSON.stringify(encodeClaims(table.state));
							table.state = decodeClaims(JSON.parse(text) as ClaimsSnapshot);
							break;
						}

						case 'lapse': {
							table.apply({kind, claims}, at);
							break;
						}

						case 'done': {
							table.settle(claims[0] ?? '', {kind, answer}, at);
							break;
						}
					}
				}

				expect(grants.length).toBeLessThanOrEqual(1);
			}),
			{seed: SEED},
		);
	});
});
