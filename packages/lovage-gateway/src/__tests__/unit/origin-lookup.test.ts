// A control instance that is busy or cut off must not be counted as one that agrees.
import type {OriginAnswer} from '@lovagevalve/dispatch';
import {expect, it} from 'vitest';
import {lookUpOrigin} from '../../origin-lookup.js';

type Word = OriginAnswer | 'ended' | 'silent';

const unknown: OriginAnswer = {knownForMs: 1000, versions: {}};
const found: OriginAnswer = {
	...unknown,
	origin: {service: 'model', softwareVersion: 'v1'},
};

/** Asks control instances that give these words, one after the other. */
async function lookUp(words: Readonly<Record<string, readonly Word[]>>) {
	const asked = new Map<string, number>();
	return lookUpOrigin(
		Object.keys(words),
		{services: ['model']},
		async (address) => {
			const turn = asked.get(address) ?? 0;
			asked.set(address, turn + 1);
			return words[address]![turn]!;
		},
	);
}

it('asks a control instance that was too busy once more', async () => {
	const {answers} = await lookUp({a: ['silent', found], b: [unknown]});
	expect(answers).toContain(found);
});

it.each<[string, readonly Word[], number]>([
	['did not answer twice', ['silent', 'silent'], 1],
	['has ended', ['ended'], 0],
	['ends meanwhile', ['silent', 'ended'], 0],
	['answers', [unknown], 0],
])('tells a silent control instance from one that %s', async (_, words, n) => {
	expect(await lookUp({a: words, b: [unknown]})).toMatchObject({
		controls: 2,
		silentControls: n,
	});
});
