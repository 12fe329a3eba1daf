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
	{ignores: ['**/dist/**']},
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
		},
	},
	{
		files: ['**/*.config.js'],
		rules: {'unicorn/no-anonymous-default-export': 'off'},
	},
];

export default config;
