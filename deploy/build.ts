// Bundles the programs of the deployment into `target/`.
import path from 'node:path';
import {build, type Plugin} from 'esbuild';

const root = path.resolve(import.meta.dirname, '..');
const programs = ['entry', 'control'];

/** Bundles the sources of the project's packages, so that no other build step is needed. */
const workspaceSources: Plugin = {
	name: 'workspace-sources',
	setup({onResolve}) {
		onResolve({filter: /^@lovagevalve\//}, ({path: name}) => ({
			path: path.join(
				root,
				'packages',
				name.replace('@lovagevalve/', 'lovage-'),
				'src/index.ts',
			),
			sideEffects: false,
		}));
	},
};

await build({
	absWorkingDir: root,
	entryPoints: programs.map((name) => `platform/src/${name}-main.ts`),
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
	plugins: [workspaceSources],
	logLevel: 'warning',
});
