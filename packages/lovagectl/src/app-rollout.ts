import {command, option, positional, string, subcommands} from 'cmd-ts';
import type {HandlerResult} from './app.js';
import {startRollout, watchRollout} from './command-rollout.js';
import type {Host} from './host.js';
import {
	connectionOptions,
	createTimeoutOption,
	jsonOptions,
	secondsType,
} from './options.js';
import {withSession} from './with-session.js';

/** Default of `ack-ms`, within which a control instance acknowledges an order. */
const ACK_MS = 5000;

const rolloutOptions = {
	...jsonOptions,
	...connectionOptions,
	...createTimeoutOption(ACK_MS),
	service: positional({
		type: string,
		displayName: 'service',
		description: 'Service whose traffic moves',
	}),
};

/** Creates the commands on roll-outs. */
export function createRolloutCommands(host: Host) {
	return subcommands({
		name: 'rollout',
		description: 'Move the traffic of a service to another software version',
		cmds: {
			start: command({
				name: 'start',
				description: 'Order a roll-out',
				args: {
					...rolloutOptions,
					to: option({
						long: 'to',
						type: string,
						description: 'Version that gets the traffic',
					}),
					durationMs: option({
						long: 'duration-s',
						type: secondsType,
						description: 'Time until the deadline of the roll-out, in seconds',
					}),
				},
				async handler({isJson, timeoutMs, ...args}): Promise<HandlerResult> {
					const result = await withSession(args, host, async (session, agent) =>
						startRollout(args, {session, agent, host, timeoutMs}),
					);
					return {isJson, result};
				},
			}),
			watch: command({
				name: 'watch',
				description: 'Wait until a roll-out has succeeded or is reverted',
				args: rolloutOptions,
				async handler({
					isJson,
					timeoutMs,
					service,
					...args
				}): Promise<HandlerResult> {
					const result = await withSession(args, host, async (session, agent) =>
						watchRollout(service, {session, agent, host, timeoutMs}),
					);
					return {isJson, result};
				},
			}),
		},
	});
}
