import {PassThrough} from 'node:stream';
import {describe, expect, it} from 'vitest';
import {createGuard, type Guard} from '../../guard.js';

const fault = new TypeError('thrown in a callback');

function throwFault(): never {
	throw fault;
}

function createRecorded(): Readonly<{guard: Guard; faults: unknown[]}> {
	const faults: unknown[] = [];
	return {guard: createGuard((error) => faults.push(error)), faults};
}

describe('a guard', () => {
	it('takes what an action and a wrapped callback throw', () => {
		const {guard, faults} = createRecorded();
		guard.run(throwFault);
		guard.wrap(throwFault)();
		const seen: number[] = [];
		guard.wrap((a: number, b: number) => seen.push(a, b))(1, 2);
		expect({faults, seen}).toEqual({faults: [fault, fault], seen: [1, 2]});
	});

	it('takes the rejection of work that nobody waits for', async () => {
		const {guard, faults} = createRecorded();
		await guard.settle(Promise.reject(fault));
		await guard.settle(Promise.resolve(1));
		expect(faults).toEqual([fault]);
	});

	it('takes what the listeners of an emitter throw, and an error without one', () => {
		const {guard, faults} = createRecorded();
		const emitter = new PassThrough();
		const seen: unknown[] = [];
		emitter.on('data', (value) => seen.push(value));
		guard.watch(emitter);
		emitter.once('data', throwFault);
		expect(emitter.emit('data', 1)).toBe(true);
		expect(emitter.emit('data', 2)).toBe(true);
		expect(emitter.emit('unknown')).toBe(false);
		emitter.emit('error', fault);
		expect({faults, seen}).toEqual({faults: [fault, fault], seen: [1, 2]});
	});
});
