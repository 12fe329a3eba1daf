import {
	command,
	option,
	optional,
	positional,
	string,
	subcommands,
	type Type,
} from 'cmd-ts';
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

/** What the handler of a command hands back. */
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
			description: 'Check the inventory and the rules',
			args: {...jsonOptions, ...fileOptions},
			async handler({isJson, ...files}): Promise<HandlerResult> {
				return {isJson, result: await validate(files)};
			},
		}),
		'hash-key': command({
			name: 'hash-key',
			description: 'Hash the key on standard input',
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
			description: 'Show what apply would change',
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
			description: 'Put the inventory and the rules in force',
			args: {
				...jsonOptions,
				...connectionOptions,
				...fileOptions,
				...createTimeoutOption(APPLY_TIMEOUT_MS),
				baseVersion: createOptionalOption(
					'base-version',
					versionType,
					'Version that the change builds on; default: the version read now',
				),
				operationId: createOptionalOption(
					'operation-id',
					string,
					'Same for each repeat of one change; default: a new one',
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
			description: 'Show at each entry when a version is in force',
			args: {
				...jsonOptions,
				...connectionOptions,
				...createTimeoutOption(FOLLOW_TIMEOUT_MS),
				version: createOptionalOption(
					'version',
					versionType,
					'Version to follow; default: the one accepted last',
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
			description: 'Show control instances, entries and what needs attention',
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
			description: 'Make one group of all the control instances given',
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
			description: 'Stop an entry gracefully and wait for its end',
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
			description: 'Show service-level burn, waits and extra resource use',
			args: {
				...queryOptions,
				html: createOptionalOption(
					'html',
					string,
					'File for the page with plots',
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

/** Creates the command line over the process that runs it. */
export function createApp(host: Host) {
	return subcommands({
		name: 'lovagectl',
		description: "The operators' command line of lovagevalve",
		cmds: {
			...createFileCommands(host),
			...createChangeCommands(host),
			...createGroupCommands(host),
			...createReportCommands(host),
		},
	});
}
