import {
	type ControlAnswer,
	type ControlInput,
	describeControl,
} from '@lovagevalve/control-role';
import type {ClaimCommand} from '@lovagevalve/claims';
import {hashKey} from '@lovagevalve/inventory';
import type {Logger} from '@lovagevalve/runtime';
import type {ControlHandlers, ControlStatus} from '@lovagevalve/wire';
import type {GroupInitialiser} from './group-initialiser.js';
import type {ControlHost} from './host.js';
import {parseRaftMessage} from './raft-messages.js';

/** Dependencies of the RPC handlers. */
export type HandlerDependencies = Readonly<{
	name: string;
	host: ControlHost;
	groupInitialiser: GroupInitialiser;
	log: Logger;
}>;

type AnswerByKind = {
	[To in ControlAnswer['to']]: Extract<ControlAnswer, {to: To}>['answer'];
};

const UNAVAILABLE = {kind: 'unavailable'} as const;

/** Creates the status report for operators and other instances. */
export function createStatus(name: string, host: ControlHost): ControlStatus {
	const report = describeControl(host.getState());
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

/** Creates the RPC handlers of a control instance. */
export function createHandlers(
	dependencies: HandlerDependencies,
): ControlHandlers {
	const {name, host, groupInitialiser: founding, log} = dependencies;

	const submitRequest = async <Kind extends ControlInput['kind']>(
		input: Extract<ControlInput, {kind: Kind}>,
	): Promise<AnswerByKind[Kind] | typeof UNAVAILABLE> => {
		const answer = await host.submitRequest(input);
		return (answer?.answer as AnswerByKind[Kind] | undefined) ?? UNAVAILABLE;
	};

	const submitClaim = async (command: ClaimCommand) =>
		submitRequest({kind: 'claim', command});

	return {
		async deliver({from, messages}) {
			messages.forEach((value) => {
				const message = parseRaftMessage(value);
				if (message === undefined) {
					log.warn('Ignored an invalid Raft message.', {from});
				} else {
					host.receiveMessage(from, message);
				}
			});
			return {kind: 'taken'};
		},
		join: async (member) => submitRequest({kind: 'join', member}),
		initialise: async (input) => founding.initialise(input),
		status: async () => createStatus(name, host),
		renewLease: async (input) => submitRequest({kind: 'renew', ...input}),
		async apply({key, ...change}) {
			const answer = await submitRequest({
				kind: 'apply',
				...change,
				keyHash: hashKey(key),
			});
			// Before the first version there is no configuration to report as the conflicting one.
			return answer.kind === 'conflict-without-configuration'
				? {
						kind: 'conflict',
						version: 0,
						operationId: '',
						configuration: change.configuration,
					}
				: answer;
		},
		readConfiguration: async () => submitRequest({kind: 'read-configuration'}),
		progress: async () => submitRequest({kind: 'progress'}),
		openClaim: async (request) => submitClaim({kind: 'open', request}),
		refuseClaim: async (request) => submitClaim({kind: 'refuse', request}),
		settleClaim: async (settled) => submitClaim({kind: 'settle', ...settled}),
		reportDeaths: async ({deaths, completed}) =>
			submitRequest({kind: 'report-deaths', deaths, completed}),
	};
}
