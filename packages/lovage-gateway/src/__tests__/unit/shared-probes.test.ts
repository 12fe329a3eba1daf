// Guards against a backend server that gets more connections the slower it accepts them.
import {expect, it} from 'vitest';
import {createSharedProbes} from '../../shared-probes.js';

it('probes of one address share the one that is open', async () => {
	const opened: string[] = [];
	const settle: Array<(isAlive: boolean) => void> = [];
	const probe = createSharedProbes(async (address) => {
		opened.push(address);
		return new Promise((resolve) => {
			settle.push(resolve);
		});
	});
	const results = [probe('a:1'), probe('a:1'), probe('b:1'), probe('a:1')];
	expect(opened).toEqual(['a:1', 'b:1']);
	settle.forEach((resolve, i) => {
		resolve(i === 0);
	});
	expect(await Promise.all(results)).toEqual([true, true, false, true]);
	void probe('a:1');
	expect(opened).toEqual(['a:1', 'b:1', 'a:1']);
});
