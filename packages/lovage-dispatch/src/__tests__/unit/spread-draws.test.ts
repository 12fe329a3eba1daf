import {expect, it} from 'vitest';
import {
	clearHand,
	createSpreadDraws,
	dealDraw,
	type SpreadDraws,
} from '../../index.js';

function deal(
	start: SpreadDraws,
	backends: number,
	random: number,
): Readonly<{dealt: readonly number[]; draws: SpreadDraws}> {
	let draws = start;
	const dealt = Array.from({length: backends}, () => {
		const next = dealDraw(draws, backends, random);
		draws = next.draws;
		return next.draw;
	});
	return {dealt, draws};
}

// With independent draws an entry often had only high ones, and room at no server.
it.each([0, 0.2, 0.5, 0.9])(
	'three draws include a low one, from %d on',
	(start) => {
		const {dealt} = deal(createSpreadDraws(start), 3, 0.5);
		expect(Math.min(...dealt)).toBeLessThan(0.4);
	},
);

it('draws of two reports together are spread evenly', () => {
	const first = deal(createSpreadDraws(0.3), 3, 0);
	const second = deal(clearHand(first.draws), 3, 0.99);
	const sorted = [...first.dealt, ...second.dealt].toSorted((a, b) => a - b);
	const gaps = sorted.map((draw, i) =>
		i === 0 ? draw + 1 - sorted.at(-1)! : draw - sorted[i - 1]!,
	);
	expect(Math.max(...gaps)).toBeLessThan(0.25);
});

it('a backend server has low draws as often as its chance says', () => {
	let draws = createSpreadDraws(0.1);
	const count = Array.from({length: 1000}, (_, report) => {
		const {dealt, draws: after} = deal(draws, 3, ((report * 7) % 10) / 10);
		draws = clearHand(after);
		return dealt[0]!;
	}).filter((draw) => draw < 0.25).length;
	expect(count).toBeGreaterThan(220);
	expect(count).toBeLessThan(280);
});

it('deals a backend server that has registered since the hand was taken a draw', () => {
	const {dealt, draws} = deal(createSpreadDraws(0.1), 2, 0);
	expect(dealt).toContain(draws.last);
	const {draw} = dealDraw(draws, 2, 0);
	expect(dealt).not.toContain(draw);
});
