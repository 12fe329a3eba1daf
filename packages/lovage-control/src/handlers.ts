import {
	type ControlAnswer,
	type ControlInput,
	describeControl,
} from '@lovagevalve/control-role';
import type {ClaimCommand} from '@lovagevalve/claims';
import {hashKey} from '@lovagevalve/inventory';
import type {Logger} from '@lovagevalve/runtime';
import type {ControlHandlers, ControlStatus} from '@lovagevalve/wire';
import type {Founding} from './founding.js';
import type {ControlHost} from './host.js';
import {parseRaftMessage} from './raft-messages.js';

/** Parts that serve the other processes. */
export type HandlerParts = Readonly<{
	name: string;
	host: ControlHost;
	founding: Founding;
	log: Logger;
}>;

type Answers = {
	[To in ControlAnswer['to']]: Extract<ControlAnswer, {to: To}>['answer'];
};

const UNAVAILABLE = {kind: 'unavailable'} as const;

/** Describes this instance for operators and other instances. */
export function createStatus(name: string, host: ControlHost): ControlStatus {
	const report = describeControl(host.read());
	return {
		...report,
		name,
		orders: report.orders.map(({order, backend, state, detail}) => ({
			order,
			backend,
			state,
			detail,
		})),
	};
}

/** Creates what a control instance does for the others. */
export function createHandlers(parts: HandlerParts): ControlHandlers {
	const {name, host, founding, log} = parts;

	const ask = async <Kind extends ControlInput['kind']>(
		input: Extract<ControlInput, {kind: Kind}>,
	): Promise<Answers[Kind] | typeof UNAVAILABLE> => {
		const answer = await host.ask(input);
		return (answer?.answer as Answers[Kind] | undefined) ?? UNAVAILABLE;
	};

	const claim = async (command: ClaimCommand) => ask({kind: 'claim', command});

	return {
		async deliver({from, messages}) {
			messages.forEach((value) => {
				const message = parseRaftMessage(value);
				if (message === undefined) {
					log.warn('A message of another instance is invalid.', {from});
				} else {
					host.receive(from, message);
				}
			});
			return {kind: 'taken'};
		},
		join: async (member) => ask({kind: 'join', member}),
		initialise: async (input) => founding.initialise(input),
		status: async () => createStatus(name, host),
		renewLease: async (input) => ask({kind: 'renew', ...input}),
		async apply({key, ...change}) {
			const answer = await ask({
				kind: 'apply',
				...change,
				keyHash: hashKey(key),
			});
			// There is nothing to compare with before the first version.
			return answer.kind === 'conflict-without-configuration'
				? {
						kind: 'conflict',
						version: 0,
						operationId: '',
						configuration: change.configuration,
					}
				: answer;
		},
		readConfiguration: async () => ask({kind: 'read-configuration'}),
		progress: async () => ask({kind: 'progress'}),
		openClaim: async (request) => claim({kind: 'open', request}),
		refuseClaim: async (request) => claim({kind: 'refuse', request}),
		settleClaim: async (settled) => claim({kind: 'settle', ...settled}),
		reportDeaths: async ({deaths, completed}) =>
			ask({kind: 'report-deaths', deaths, completed}),
	};
}
