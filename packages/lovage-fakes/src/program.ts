import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream, existsSync, readFileSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

/** How a program ended. */
export type ProgramExit = Readonly<{
	code: number | undefined;
	signal: NodeJS.Signals | undefined;
}>;

/** A program that runs as a process of its own. */
export type Program = Readonly<{
	name: string;
	pid: number;
	/** Wall clock at the start, in milliseconds. */
	startedAt: number;
	isRunning: () => boolean;
	/** What it wrote to both outputs so far. */
	readOutput: () => string;
	signal: (signal: NodeJS.Signals) => void;
	/** Sends a signal and waits for the end. */
	end: (signal: NodeJS.Signals) => Promise<ProgramExit>;
	exited: Promise<ProgramExit>;
}>;

/** Which program to start, and where its output goes. */
export type ProgramSpec = Readonly<{
	name: string;
	/** File of the program, absolute or relative to the folder of the packages. */
	file: string;
	args: readonly string[];
	/** Variables beside those of this process. */
	env?: Readonly<Record<string, string>>;
	outputFile: string;
}>;

const PACKAGES_URL = new URL('../../', import.meta.url);

const children = new Set<ChildProcess>();

function exitAfterSignal(): void {
	// eslint-disable-next-line unicorn/no-process-exit
	process.exit(1);
}

/** Makes the programs end with the process that started them. */
function killOnExit(child: ChildProcess): void {
	if (children.size === 0) {
		process.on('exit', () => {
			children.forEach((one) => one.kill('SIGKILL'));
		});
		process.on('SIGTERM', exitAfterSignal);
		process.on('SIGINT', exitAfterSignal);
	}

	children.add(child);
}

/** Starts a program of this workspace with Node.js. */
export function startProgram(spec: ProgramSpec): Program {
	const file = fileURLToPath(new URL(spec.file, PACKAGES_URL));
	const output = createWriteStream(spec.outputFile, {flags: 'a'});
	const startedAt = Date.now();
	const child = spawn(process.execPath, [file, ...spec.args], {
		stdio: ['ignore', 'pipe', 'pipe'],
		env: {...process.env, ...spec.env},
	});
	child.stdout.pipe(output, {end: false});
	child.stderr.pipe(output, {end: false});

	killOnExit(child);
	let isRunning = true;
	const exited = new Promise<ProgramExit>((resolve) => {
		child.on('exit', (code, signal) => {
			isRunning = false;
			output.end();
			resolve({code: code ?? undefined, signal: signal ?? undefined});
		});
	});

	const signal = (name: NodeJS.Signals): void => {
		child.kill(name);
	};

	return {
		name: spec.name,
		pid: child.pid!,
		startedAt,
		isRunning: () => isRunning,
		readOutput: () =>
			existsSync(spec.outputFile) ? readFileSync(spec.outputFile, 'utf8') : '',
		signal,
		async end(name) {
			signal(name);
			return exited;
		},
		exited,
	};
}
