// Bundles the programs of the deployment into `target/`.
import path from 'node:path';
import {build, type Plugin} from 'esbuild';

const ROOT_FOLDER = path.resolve(import.meta.dirname, '..');
const PROGRAMS = ['entry', 'control'];

/** Bundles the sources of the project's packages, so that no other build step is needed. */
const resolveWorkspaceSources: Plugin = {
	name: 'workspace-sources',
	setup({onResolve}) {
		onResolve({filter: /^@lovagevalve\//}, ({path: name}) => ({
			path: path.join(
				ROOT_FOLDER,
				'packages',
				name.replace('@lovagevalve/', 'lovage-'),
				'src/index.ts',
			),
			sideEffects: false,
		}));
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
	// Whole lines keep the traces of faults readable.
	minifySyntax: true,
	// CommonJS libraries in the bundle call `require` for Node.js modules.
	banner: {
		js: "import {createRequire as nodeCreateRequire} from 'node:module';const require = nodeCreateRequire(import.meta.url);",
	},
	plugins: [resolveWorkspaceSources],
	logLevel: 'warning',
});
