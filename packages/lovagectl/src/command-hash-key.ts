import {hashKey} from '@lovagevalve/inventory';
import type {Host} from './host.js';
import {createOutput, fail, type CommandResult} from './outcome.js';

const MAX_KEY_LENGTH = 256;

/** Hashes the key from standard input in the format of the inventory. */
export async function printKeyHash(host: Host): Promise<CommandResult> {
	const input = await host.readInput();
	const key = input.trim();
	if (key === '' || key.length > MAX_KEY_LENGTH) {
		return fail(
			'usage',
			`the key on standard input must have 1 to ${MAX_KEY_LENGTH} characters`,
		);
	}

	const keyHash = hashKey(key);
	return createOutput([keyHash], {keyHash});
}
