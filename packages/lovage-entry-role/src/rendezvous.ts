import {createHash} from 'node:crypto';

function computeWeight(candidate: string, key: string): string {
	return createHash('sha256').update(`${candidate}\0${key}`).digest('hex');
}

/** Ranks candidates for a key by rendezvous hashing: losing one moves only its keys. */
export function rankByRendezvous(
	candidates: readonly string[],
	key: string,
): readonly string[] {
	return candidates
		.map((candidate) => ({candidate, weight: computeWeight(candidate, key)}))
		.toSorted((a, b) => (a.weight < b.weight ? 1 : -1))
		.map(({candidate}) => candidate);
}
