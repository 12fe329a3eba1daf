const FNV_OFFSET = 0x81_1c_9d_c5;
const FNV_PRIME = 0x01_00_01_93;

/* eslint-disable no-bitwise */

/** Returns a 32-bit hash of a text (FNV-1a with a final mix). It is the same on every instance. */
export function hashText(text: string): number {
	const folded = [...text].reduce(
		(hash, character) =>
			Math.imul(hash ^ character.codePointAt(0)!, FNV_PRIME) >>> 0,
		FNV_OFFSET,
	);
	const mixed = Math.imul(folded ^ (folded >>> 16), 0x85_eb_ca_6b);
	return (mixed ^ (mixed >>> 13)) >>> 0;
}

/* eslint-enable no-bitwise */
