/** Outcome of one draw: a number between 0 and 1 and the generator's next state. */
export type Draw = Readonly<{value: number; random: number}>;

const MULTIPLIER = 48_271;
const MODULUS = 2 ** 31 - 1;

/** Makes a state of the generator from any whole number. */
export function createRandom(seed: number): number {
	return 1 + (Math.abs(Math.trunc(seed)) % (MODULUS - 1));
}

/** Draws from a Lehmer generator; enough to spread timeouts. */
export function drawRandom(random: number): Draw {
	const next = (random * MULTIPLIER) % MODULUS;
	return {value: next / MODULUS, random: next};
}
