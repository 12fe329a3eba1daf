import {spawn, type ChildProcess} from 'node:child_process';
import {createWriteStream, existsSync, readFileSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

/** Exit status of a program. */
export type ProgramExit = Readonly<{
	code: number | undefined;
	signal: NodeJS.Signals | undefined;
}>;

/** A program running in a child process. */
export type Program = Readonly<{
	name: string;
	pid: number;
	/** Wall-clock start time in milliseconds. */
	startedAt: number;
	isRunning: () => boolean;
	/** Returns the content of the output file. */
	readOutput: () => string;
	signal: (signal: NodeJS.Signals) => void;
	/** Sends a signal and waits for the exit. */
	end: (signal: NodeJS.Signals) => Promise<ProgramExit>;
	exited: Promise<ProgramExit>;
}>;

/** Program to start and where to write its output. */
export type ProgramSpec = Readonly<{
	name: string;
	/** Script to run, absolute or relative to the packages folder. */
	file: string;
	args: readonly string[];
	/** Environment variables in addition to those of this process. */
	env?: Readonly<Record<string, string>>;
	outputFile: string;
}>;

const PACKAGES_URL = new URL('../../', import.meta.url);

const children = new Set<ChildProcess>();

function exitAfterSignal(): void {
	// eslint-disable-next-line unicorn/no-process-exit
	process.exit(1);
}

/** Kills a child when this process exits, also on SIGTERM or SIGINT. */
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

/** Starts a Node.js program of this workspace. */
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

	// The last output arrives after the exit.
	child.on('close', () => {
		output.end();
	});
	killOnExit(child);
	let isRunning = true;
	const exited = new Promise<ProgramExit>((resolve) => {
		child.on('exit', (code, signal) => {
			isRunning = false;
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
