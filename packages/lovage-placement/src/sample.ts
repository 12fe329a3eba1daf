import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const SEED_RANGE = 2 ** 31;

/** Draws up to `count` distinct items; `random`, in [0, 1), is the seed. */
export function sample<Item>(
	items: readonly Item[],
	count: number,
	random: number,
): readonly Item[] {
	const generator = xoroshiro128plus(Math.floor(random * SEED_RANGE));
	const remaining = [...items];
	return Array.from({length: Math.min(count, items.length)}, () => {
		const index = uniformInt(generator, 0, remaining.length - 1);
		return remaining.splice(index, 1)[0]!;
	});
}
