// Bundles each program of the deployment into one file in `target/`.
import path from 'node:path';
import {build, type Plugin} from 'esbuild';

const ROOT_FOLDER = path.resolve(import.meta.dirname, '..');
const PROGRAMS = ['entry', 'control'];

/** Resolves workspace packages to their TypeScript sources, so that they need no build beforehand. */
const resolveWorkspaceSources: Plugin = {
	name: 'workspace-sources',
	setup({onResolve}) {
		onResolve({filter: /^@lovagevalve\//}, ({path: name}) => {
			const [, folder = '', subpath = 'index'] = name.split('/');
			return {
				path: path.join(
					ROOT_FOLDER,
					`packages/lovage-${folder}/src/${subpath}.ts`,
				),
				sideEffects: false,
			};
		});
	},
};

await build({
	absWorkingDir: ROOT_FOLDER,
	entryPoints: PROGRAMS.map((name) => `platform/src/${name}-main.ts`),
	entryNames: '[name]',
	outdir: 'target',
	outExtension: {'.js': '.mjs'},
	bundle: true,
	platform: 'node',
	format: 'esm',
	target: 'node20',
	// Minifies only the syntax: line breaks keep stack traces readable.
	minifySyntax: true,
	// Bundled CommonJS libraries call `require` for Node.js modules; ES modules don't define it.
	banner: {
		js: "import {createRequire as nodeCreateRequire} from 'node:module';const require = nodeCreateRequire(import.meta.url);",
	},
	plugins: [resolveWorkspaceSources],
	logLevel: 'warning',
});
