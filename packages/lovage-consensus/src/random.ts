/** A random number between 0 and 1 and the next state of the generator. */
export type Draw = Readonly<{value: number; random: number}>;

const MULTIPLIER = 48_271;
const MODULUS = 2 ** 31 - 1;

/** Creates the generator's initial state from any integer seed. */
export function createRandom(seed: number): number {
	return 1 + (Math.abs(Math.trunc(seed)) % (MODULUS - 1));
}

/** Draws from a Lehmer generator, which is good enough to randomise timeouts. */
export function drawRandom(random: number): Draw {
	const next = (random * MULTIPLIER) % MODULUS;
	return {value: next / MODULUS, random: next};
}
