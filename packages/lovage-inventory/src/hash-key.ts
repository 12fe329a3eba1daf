import {createHash} from 'node:crypto';

/** Hashes a key the way the inventory holds it. */
export function hashKey(key: string): string {
	return `sha256:${createHash('sha256').update(key).digest('hex')}`;
}
