import {parseSettings} from '@lovagevalve/runtime';
import {describe, expect, test} from 'vitest';
import {controlSettingsSchema} from '../../settings.js';

const VALID = `
name: control-1
listen: {port: 7101}
address: http://127.0.0.1:7101
dataFolder: data
bootstrapOperatorKeyHash: sha256:${'0'.repeat(64)}
`;

const listProblems = (text: string) =>
	parseSettings(text, 'control.yaml', controlSettingsSchema).match(
		() => [],
		({lines}) => lines,
	);

describe('settings', () => {
	test('need only the fields without defaults', () => {
		expect(listProblems(VALID)).toEqual([]);
	});

	test.each([
		['an unknown key', 'leaseMs: 5', 'leaseMs'],
		['a relative address', 'address: control-1', 'control.yaml: address: '],
		['a bare key', 'bootstrapOperatorKeyHash: k', 'hash-key'],
		['an election timeout that is too short', timings(300), 'electionTimeout'],
		[
			'a claim hold time that is too short',
			'timings: {claimHoldMs: 3000}',
			'4000',
		],
	])('reject %s and name the field', (_, line, expected) => {
		const name = line.split(':', 1)[0]!;
		const rest = VALID.split('\n').filter((one) => !one.startsWith(name));
		expect(listProblems([...rest, line].join('\n')).join('\n')).toContain(
			expected,
		);
	});
});

function timings(electionTimeoutMs: number): string {
	return `timings: {electionTimeoutMs: ${electionTimeoutMs}}`;
}
