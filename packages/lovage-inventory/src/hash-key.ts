import {createHash} from 'node:crypto';

/** Hashes a key in the format of the inventory. */
export function hashKey(key: string): string {
	return `sha256:${createHash('sha256').update(key).digest('hex')}`;
}
