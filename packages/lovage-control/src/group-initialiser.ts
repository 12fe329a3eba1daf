import {
	callRpc,
	createControlClient,
	type ControlHandlers,
	type ControlStatus,
	type InitialiseRequest,
	type RpcPool,
} from '@lovagevalve/wire';
import {removeTrailingSlash} from './settings.js';
import type {ControlHost} from './host.js';

const RPC_TIMEOUT_MS = 3000;

type Outcome = Awaited<ReturnType<ControlHandlers['initialise']>>;
type InitialMember = InitialiseRequest['members'][number];

/** Creates a new control group from its initial members. */
export type GroupInitialiser = Readonly<{
	initialise: (input: InitialiseRequest) => Promise<Outcome>;
}>;

/** Dependencies of a group initialiser. */
export type GroupInitialiserDependencies = Readonly<{
	address: string;
	host: ControlHost;
	pool: RpcPool;
	readStatus: () => ControlStatus;
}>;

function refuse(reason: string): Outcome {
	return {kind: 'refused', reason};
}

/** The replicated log stores the group name with the initial members' replica IDs appended. */
function hasGroupName(group: string | undefined, name: string): boolean {
	return group === name || group?.startsWith(`${name}.`) === true;
}

function findRefusalReason(
	group: string,
	member: InitialMember,
	status: ControlStatus | undefined,
): string | undefined {
	if (status === undefined) {
		return `${member.address} doesn't answer.`;
	}

	if (status.group !== undefined && !hasGroupName(status.group, group)) {
		return `${member.address} belongs to group ${status.group}.`;
	}

	return member.replica !== '' && member.replica !== status.replica
		? `${member.address} is replica ${status.replica}, not ${member.replica}.`
		: undefined;
}

/** Creates the handler of requests to initialise a group. */
export function createGroupInitialiser(
	dependencies: GroupInitialiserDependencies,
): GroupInitialiser {
	const {address, host, pool, readStatus} = dependencies;

	const isSelf = (member: InitialMember): boolean =>
		removeTrailingSlash(member.address) === removeTrailingSlash(address);

	const readMemberStatus = async (
		member: InitialMember,
	): Promise<ControlStatus | undefined> => {
		if (isSelf(member)) {
			return readStatus();
		}

		const client = createControlClient(
			removeTrailingSlash(member.address),
			pool,
		);
		const answer = await callRpc(
			async (signal) => client.status.query(undefined, {signal}),
			RPC_TIMEOUT_MS,
		);
		return answer.unwrapOr(undefined);
	};

	const sendInitialise = async (
		member: InitialMember,
		input: InitialiseRequest,
	): Promise<Outcome> => {
		const client = createControlClient(
			removeTrailingSlash(member.address),
			pool,
		);
		const answer = await callRpc(
			async (signal) => client.initialise.mutate(input, {signal}),
			RPC_TIMEOUT_MS,
		);
		return answer.unwrapOr(refuse(`${member.address} doesn't answer.`));
	};

	const initialiseLocally = async (
		input: InitialiseRequest,
	): Promise<Outcome> => {
		const answer = await host.submitRequest({kind: 'initialise', ...input});
		return answer?.to === 'initialise'
			? answer.answer
			: refuse('The disk gave no answer in time.');
	};

	const initialiseGroup = async (
		input: InitialiseRequest,
	): Promise<Outcome> => {
		const statuses = await Promise.all(input.members.map(readMemberStatus));
		const refusalReason = input.members
			.map((member, i) => findRefusalReason(input.group, member, statuses[i]))
			.find((reason) => reason !== undefined);
		if (refusalReason !== undefined) {
			return refuse(refusalReason);
		}

		const members = input.members.map((member, i) => ({
			...member,
			replica: statuses[i]!.replica,
		}));
		const request = {...input, members};
		const localOutcome = await initialiseLocally(request);
		if (localOutcome.kind === 'refused') {
			return localOutcome;
		}

		const remainingMembers = members.filter(
			(member, i) => !isSelf(member) && statuses[i]!.group === undefined,
		);
		const outcomes = await Promise.all(
			remainingMembers.map(async (member) => sendInitialise(member, request)),
		);
		return outcomes.find(({kind}) => kind === 'refused') ?? localOutcome;
	};

	return {
		async initialise(input) {
			if (!input.members.some(isSelf)) {
				return refuse('This instance is not among the members.');
			}

			// The group exists already: another member initialised it, or the request is a retry.
			return hasGroupName(readStatus().group, input.group)
				? {kind: 'initialised'}
				: initialiseGroup(input);
		},
	};
}
