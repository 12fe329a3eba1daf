import {err, ok} from 'neverthrow';
import {describe, expect, it} from 'vitest';
import {createLogger} from '../../logs.js';
import {
	startSupervisor,
	type ChildSpec,
	type ChildError,
} from '../../supervisor.js';

function createChild(name: string, calls: string[]) {
	const control: {fail?: (error: ChildError) => void} = {};
	const spec: ChildSpec = {
		name,
		async start(fail) {
			calls.push(`start ${name}`);
			control.fail = fail;
			return ok({
				async stop() {
					calls.push(`stop ${name}`);
				},
			});
		},
	};
	return {spec, control};
}

function createOptions(gaveUp: ChildError[]) {
	return {
		name: 'root',
		log: createLogger('test'),
		now: () => 0,
		policy: {maxRestarts: 1, withinMs: 1000},
		giveUp(error: ChildError) {
			gaveUp.push(error);
		},
	};
}

async function settle(): Promise<void> {
	await new Promise((resolve) => {
		setImmediate(resolve);
	});
}

describe('startSupervisor', () => {
	it('starts in order and stops in reverse', async () => {
		const calls: string[] = [];
		const first = createChild('a', calls);
		const second = createChild('b', calls);
		const tree = await startSupervisor(
			[first.spec, second.spec],
			createOptions([]),
		);
		await tree.stop();
		expect(calls).toEqual(['start a', 'start b', 'stop b', 'stop a']);
	});

	it('restarts a child that fails, then gives up', async () => {
		const calls: string[] = [];
		const gaveUp: ChildError[] = [];
		const child = createChild('a', calls);
		await startSupervisor([child.spec], createOptions(gaveUp));
		child.control.fail?.({kind: 'x', message: 'one'});
		await settle();
		expect(gaveUp).toEqual([]);
		child.control.fail?.({kind: 'x', message: 'two'});
		await settle();
		expect(gaveUp.map((error) => error.message)).toEqual(['two']);
		expect(calls).toEqual(['start a', 'stop a', 'start a', 'stop a']);
	});

	it('stops the running children when a later one fails to start', async () => {
		const calls: string[] = [];
		const gaveUp: ChildError[] = [];
		const child = createChild('a', calls);
		const broken: ChildSpec = {
			name: 'b',
			start: async () => err({kind: 'x', message: 'no'}),
		};
		await startSupervisor([child.spec, broken], createOptions(gaveUp));
		expect(gaveUp).toHaveLength(1);
		expect(calls).toEqual(['start a', 'stop a']);
	});
});
