import process from 'node:process';
import {command, option, run, string} from 'cmd-ts';
import type {Result} from 'neverthrow';
import type {z} from 'zod';
import {createLogger, installLogWriter, type LogLevel} from './logs.js';
import {EXIT_CODES, waitForShutdown} from './program.js';
import {loadSettings} from './settings.js';
import type {ChildError} from './supervisor.js';

/** A daemon while it runs. */
export type RunningDaemon = Readonly<{
	/** Finishes what the daemon holds, then stops it. */
	drain: () => Promise<void>;
	/** Resolves with the exit code when it stops without a signal. */
	stopped?: Promise<number>;
}>;

/** What makes up a daemon. */
export type DaemonSpec<Settings extends {logLevel: LogLevel}> = Readonly<{
	/** Name of the program. */
	name: string;
	/** Prefix of its logs. */
	part: string;
	description: string;
	schema: z.ZodType<Settings>;
	/** Starts it; `giveUp` ends the process with a failure. */
	start: (
		cfg: Settings,
		giveUp: (error: ChildError) => void,
	) => Promise<Result<RunningDaemon, ChildError>>;
}>;

function exit(code: number): never {
	process.exit(code); // eslint-disable-line unicorn/no-process-exit
}

/** Runs a daemon from its command line until it has stopped. */
export async function runDaemon<Settings extends {logLevel: LogLevel}>(
	spec: DaemonSpec<Settings>,
): Promise<void> {
	const log = createLogger(spec.part);
	const fail = ({message}: ChildError): never => {
		log.error('The program stops.', {message});
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
