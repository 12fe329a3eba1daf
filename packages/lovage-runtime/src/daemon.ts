import process from 'node:process';
import {command, option, run, string} from 'cmd-ts';
import type {Result} from 'neverthrow';
import type {z} from 'zod';
import {createLogger, installLogWriter, type LogLevel} from './logs.js';
import {logProcessEnd} from './process-end.js';
import {EXIT_CODES, waitForShutdown} from './program.js';
import {loadSettings} from './settings.js';
import type {ChildError} from './supervisor.js';

/** A running daemon. */
export type RunningDaemon = Readonly<{
	/** Completes the open requests, then stops the daemon. */
	drain: () => Promise<void>;
	/** Resolves with the exit code if the daemon stops without a signal. */
	stopped?: Promise<number>;
}>;

/** Describes a daemon to `runDaemon`. */
export type DaemonSpec<Settings extends {logLevel: LogLevel}> = Readonly<{
	/** Name of the program. */
	name: string;
	/** Prefix of its log messages. */
	part: string;
	description: string;
	schema: z.ZodType<Settings>;
	/** Starts the daemon; `giveUp` exits the process with a failure code. */
	start: (
		cfg: Settings,
		giveUp: (error: ChildError) => void,
	) => Promise<Result<RunningDaemon, ChildError>>;
}>;

function exit(code: number): never {
	process.exit(code); // eslint-disable-line unicorn/no-process-exit
}

/** Parses the command line and runs a daemon until it stops. */
export async function runDaemon<Settings extends {logLevel: LogLevel}>(
	spec: DaemonSpec<Settings>,
): Promise<void> {
	const log = createLogger(spec.part);
	const fail = ({message}: ChildError): never => {
		log.error('Fatal error; exiting.', {message});
		return exit(EXIT_CODES.failure);
	};

	const app = command({
		name: spec.name,
		description: spec.description,
		args: {
			settings: option({
				type: string,
				long: 'settings',
				description: 'YAML file with the settings',
			}),
		},
		async handler({settings}) {
			const cfg = await loadSettings(settings, spec.schema);
			if (cfg.isErr()) {
				process.stderr.write(`${cfg.error.lines.join('\n')}\n`);
				return exit(EXIT_CODES.invalidSettings);
			}

			installLogWriter(cfg.value.logLevel);
			// Standard error is written to synchronously.
			logProcessEnd(log, () => undefined);
			const started = await spec.start(cfg.value, fail);
			if (started.isErr()) {
				return fail(started.error);
			}

			log.info('Started.');
			const {drain, stopped} = started.value;
			const exitCodes = [
				waitForShutdown(log, drain),
				...(stopped ? [stopped] : []),
			];
			exit(await Promise.race(exitCodes));
		},
	});
	await run(app, process.argv.slice(2));
}
