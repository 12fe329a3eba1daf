/** @type {import('prettier').Config} */
const config = {
	useTabs: true,
	singleQuote: true,
	bracketSpacing: false,
	trailingComma: 'all',
	overrides: [
		{files: ['*.yaml', '*.yml'], options: {useTabs: false, tabWidth: 2}},
	],
};

export default config;
