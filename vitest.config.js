import {defineConfig} from 'vitest/config';

const limits = {testTimeout: 120_000, hookTimeout: 120_000};

export default defineConfig({
	test: {
		reporters: ['default', 'json'],
		outputFile: {json: 'coverage/test-report.json'},
		projects: [
			{
				test: {
					name: 'unit',
					include: [
						'packages/*/src/__tests__/unit/**/*.test.ts',
						'platform/src/__tests__/unit/**/*.test.ts',
					],
					...limits,
				},
			},
			{
				test: {
					name: 'integration',
					include: [
						'packages/*/src/__tests__/integration/**/*.test.ts',
						'platform/src/__tests__/integration/**/*.test.ts',
					],
					// Each file starts a dozen processes.
					maxWorkers: 3,
					sequence: {groupOrder: 1},
					...limits,
				},
			},
		],
	},
});
