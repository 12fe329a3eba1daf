import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A seeded random number generator. */
export type Random = Readonly<{
	/** Draws a uniform number from [0, 1). */
	draw: () => number;
	/** Draws a uniform number from [low, high). */
	between: (low: number, high: number) => number;
	/** Draws an exponentially distributed number with the given mean. */
	exponential: (mean: number) => number;
	pick: <Item>(items: readonly Item[]) => Item;
}>;

/** Creates a generator that returns the same sequence for the same seed. */
export function createRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed);
	const draw = () => uniformFloat64(generator);
	return {
		draw,
		between: (low, high) => low + (high - low) * draw(),
		exponential: (mean) => -mean * Math.log(1 - draw()),
		pick: (items) => items[Math.floor(draw() * items.length)]!,
	};
}
