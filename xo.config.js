const shortNames = {
	req: true,
	res: true,
	cfg: true,
	err: true,
	ctx: true,
	env: true,
	args: true,
	dir: true,
	db: true,
	fn: true,
	i: true,
	j: true,
};

/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['**/dist/**', '*.config.js']},
	{
		prettier: true,
		space: false,
		rules: {
			'unicorn/prevent-abbreviations': ['error', {allowList: shortNames}],
			'unicorn/prefer-top-level-await': 'off',
			'@typescript-eslint/naming-convention': 'off',
			'@typescript-eslint/switch-exhaustiveness-check': 'error',
			'@typescript-eslint/consistent-type-imports': 'error',
			// The house style asks for array methods, and it goes before XO's rules.
			'unicorn/no-array-for-each': 'off',
			'unicorn/no-array-reduce': 'off',
			'unicorn/no-array-callback-reference': 'off',
			'unicorn/no-array-method-this-argument': 'off',
			// Factories of the `immutable` library.
			'new-cap': [
				'error',
				{
					capIsNewExceptions: [
						'ImmutableMap',
						'List',
						'Map',
						'OrderedMap',
						'Set',
					],
				},
			],
		},
	},
	{
		// The programs end by themselves after a drain.
		files: ['platform/src/*.ts'],
		rules: {'unicorn/no-process-exit': 'off'},
	},
	{
		// The root holds the development dependencies that tests import.
		files: ['**/__tests__/**/*.ts'],
		rules: {
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
];

export default config;
