import {
	command,
	option,
	optional,
	positional,
	string,
	subcommands,
	type Type,
} from 'cmd-ts';
import {createRolloutCommands} from './app-rollout.js';
import {apply} from './command-apply.js';
import {drain} from './command-drain.js';
import {follow} from './command-follow.js';
import {printKeyHash} from './command-hash-key.js';
import {init} from './command-init.js';
import {plan} from './command-plan.js';
import {report} from './command-report.js';
import {status} from './command-status.js';
import {validate} from './command-validate.js';
import type {Host} from './host.js';
import {
	connectionOptions,
	createTimeoutOption,
	fileOptions,
	jsonOptions,
	versionType,
} from './options.js';
import type {CommandResult} from './outcome.js';
import {withCredentials, withSession} from './with-session.js';

const QUERY_TIMEOUT_MS = 10_000;
const APPLY_TIMEOUT_MS = 30_000;
const FOLLOW_TIMEOUT_MS = 60_000;
const DRAIN_TIMEOUT_MS = 3_600_000;

/** Result of a command and whether to print it as JSON. */
export type HandlerResult = Readonly<{isJson: boolean; result: CommandResult}>;

const queryOptions = {
	...jsonOptions,
	...connectionOptions,
	...createTimeoutOption(QUERY_TIMEOUT_MS),
};

function createOptionalOption<T>(
	long: string,
	type: Type<string, T>,
	description: string,
) {
	return option({long, type: optional(type), description});
}

function createFileCommands(host: Host) {
	return {
		validate: command({
			name: 'validate',
			description: 'Validate the inventory and the rules',
			args: {...jsonOptions, ...fileOptions},
			async handler({isJson, ...files}): Promise<HandlerResult> {
				return {isJson, result: await validate(files)};
			},
		}),
		'hash-key': command({
			name: 'hash-key',
			description: 'Hash the key read from standard input',
			args: jsonOptions,
			async handler({isJson}): Promise<HandlerResult> {
				return {isJson, result: await printKeyHash(host)};
			},
		}),
	};
}

function createChangeCommands(host: Host) {
	return {
		plan: command({
			name: 'plan',
			description: 'Show the changes that apply would make',
			args: {...queryOptions, ...fileOptions},
			async handler({isJson, ...args}): Promise<HandlerResult> {
				const result = await withSession(args, host, async (session) =>
					plan(args, session, args.timeoutMs),
				);
				return {isJson, result};
			},
		}),
		apply: command({
			name: 'apply',
			description: 'Apply the inventory and the rules',
			args: {
				...jsonOptions,
				...connectionOptions,
				...fileOptions,
				...createTimeoutOption(APPLY_TIMEOUT_MS),
				baseVersion: createOptionalOption(
					'base-version',
					versionType,
					'Version that the change is based on; default: the current version',
				),
				operationId: createOptionalOption(
					'operation-id',
					string,
					'Idempotency key, the same for each retry of a change; default: generated',
				),
			},
			async handler({
				isJson,
				inventory,
				rules,
				...args
			}): Promise<HandlerResult> {
				const files = {inventory, rules};
				const result = await withCredentials(
					args,
					host,
					async (session, credentials) =>
						apply({...args, files, credentials}, session, host),
				);
				return {isJson, result};
			},
		}),
		follow: command({
			name: 'follow',
			description: 'Show when each entry applies a version',
			args: {
				...jsonOptions,
				...connectionOptions,
				...createTimeoutOption(FOLLOW_TIMEOUT_MS),
				version: createOptionalOption(
					'version',
					versionType,
					'Version to follow; default: the last accepted one',
				),
			},
			async handler({isJson, ...args}): Promise<HandlerResult> {
				const result = await withSession(args, host, async (session) =>
					follow({...args, isJson}, session, host),
				);
				return {isJson, result};
			},
		}),
	};
}

function createGroupCommands(host: Host) {
	return {
		status: command({
			name: 'status',
			description:
				'Show the control instances, entries, unknown backend servers and orders',
			args: queryOptions,
			async handler({isJson, ...args}): Promise<HandlerResult> {
				const result = await withSession(args, host, async (session) =>
					status(session, args.timeoutMs),
				);
				return {isJson, result};
			},
		}),
		init: command({
			name: 'init',
			description: 'Create a control group from the given control instances',
			args: {
				...jsonOptions,
				...connectionOptions,
				group: option({
					long: 'group',
					type: string,
					description: 'Name of the group',
				}),
			},
			async handler({isJson, ...args}): Promise<HandlerResult> {
				const result = await withSession(args, host, async (session) =>
					init(args.group, session),
				);
				return {isJson, result};
			},
		}),
		drain: command({
			name: 'drain',
			description:
				'Shut down an entry gracefully and wait until it has stopped',
			args: {
				...jsonOptions,
				...connectionOptions,
				...createTimeoutOption(DRAIN_TIMEOUT_MS),
				entry: positional({
					type: string,
					displayName: 'entry',
					description: 'Entry to stop',
				}),
			},
			async handler({isJson, ...args}): Promise<HandlerResult> {
				const result = await withCredentials(
					args,
					host,
					async (session, credentials, agent) =>
						drain({...args, credentials}, session, agent, host),
				);
				return {isJson, result};
			},
		}),
	};
}

function createReportCommands(host: Host) {
	return {
		report: command({
			name: 'report',
			description:
				'Show error-budget burn rates, latencies and extra resource use',
			args: {
				...queryOptions,
				html: createOptionalOption(
					'html',
					string,
					'File to write an HTML report with plots to',
				),
			},
			async handler({isJson, ...args}): Promise<HandlerResult> {
				const result = await withCredentials(
					args,
					host,
					async (session, credentials, agent) =>
						report({...args, credentials}, session, agent, host),
				);
				return {isJson, result};
			},
		}),
	};
}

/** Creates the command-line application; `host` gives access to the process. */
export function createApp(host: Host) {
	return subcommands({
		name: 'lovagectl',
		description: "The operators' command line of lovagevalve",
		cmds: {
			...createFileCommands(host),
			...createChangeCommands(host),
			...createGroupCommands(host),
			...createReportCommands(host),
			rollout: createRolloutCommands(host),
		},
	});
}
