import {
	callRpc,
	createControlClient,
	type ControlHandlers,
	type ControlStatus,
	type InitialiseRequest,
	type RpcPool,
} from '@lovagevalve/wire';
import {trimAddress} from './settings.js';
import type {ControlHost} from './host.js';

const EXCHANGE_TIMEOUT_MS = 3000;

type Outcome = Awaited<ReturnType<ControlHandlers['initialise']>>;
type Founder = InitialiseRequest['members'][number];

/** Founds a group together with the other instances. */
export type Founding = Readonly<{
	initialise: (input: InitialiseRequest) => Promise<Outcome>;
}>;

/** What the founding of a group needs. */
export type FoundingParts = Readonly<{
	address: string;
	host: ControlHost;
	pool: RpcPool;
	readStatus: () => ControlStatus;
}>;

function refuse(reason: string): Outcome {
	return {kind: 'refused', reason};
}

/** The log adds the founders' identities to the name of a group. */
function isNamed(group: string | undefined, name: string): boolean {
	return group === name || group?.startsWith(`${name}.`) === true;
}

function findObstacle(
	group: string,
	founder: Founder,
	status: ControlStatus | undefined,
): string | undefined {
	if (status === undefined) {
		return `${founder.address} doesn't answer.`;
	}

	if (status.group !== undefined && !isNamed(status.group, group)) {
		return `${founder.address} belongs to group ${status.group}.`;
	}

	return founder.replica !== '' && founder.replica !== status.replica
		? `${founder.address} is replica ${status.replica}, not ${founder.replica}.`
		: undefined;
}

/** Creates the part that founds a group. */
export function createFounding(parts: FoundingParts): Founding {
	const {address, host, pool, readStatus} = parts;

	const isSelf = (founder: Founder): boolean =>
		trimAddress(founder.address) === trimAddress(address);

	const askStatus = async (
		founder: Founder,
	): Promise<ControlStatus | undefined> => {
		if (isSelf(founder)) {
			return readStatus();
		}

		const client = createControlClient(trimAddress(founder.address), pool);
		const answer = await callRpc(
			async (signal) => client.status.query(undefined, {signal}),
			EXCHANGE_TIMEOUT_MS,
		);
		return answer.unwrapOr(undefined);
	};

	const invite = async (
		founder: Founder,
		input: InitialiseRequest,
	): Promise<Outcome> => {
		const client = createControlClient(trimAddress(founder.address), pool);
		const answer = await callRpc(
			async (signal) => client.initialise.mutate(input, {signal}),
			EXCHANGE_TIMEOUT_MS,
		);
		return answer.unwrapOr(refuse(`${founder.address} doesn't answer.`));
	};

	const foundHere = async (input: InitialiseRequest): Promise<Outcome> => {
		const answer = await host.ask({kind: 'initialise', ...input});
		return answer?.to === 'initialise'
			? answer.answer
			: refuse('The disk gave no answer in time.');
	};

	const found = async (input: InitialiseRequest): Promise<Outcome> => {
		const statuses = await Promise.all(input.members.map(askStatus));
		const obstacle = input.members
			.map((founder, i) => findObstacle(input.group, founder, statuses[i]))
			.find((reason) => reason !== undefined);
		if (obstacle !== undefined) {
			return refuse(obstacle);
		}

		const members = input.members.map((founder, i) => ({
			...founder,
			replica: statuses[i]!.replica,
		}));
		const complete = {...input, members};
		const own = await foundHere(complete);
		if (own.kind === 'refused') {
			return own;
		}

		const invited = members.filter(
			(founder, i) => !isSelf(founder) && statuses[i]!.group === undefined,
		);
		const outcomes = await Promise.all(
			invited.map(async (founder) => invite(founder, complete)),
		);
		return outcomes.find(({kind}) => kind === 'refused') ?? own;
	};

	return {
		async initialise(input) {
			if (!input.members.some(isSelf)) {
				return refuse('This instance is not among the members.');
			}

			// The answer to an invitation, and to a repeated request.
			return isNamed(readStatus().group, input.group)
				? {kind: 'initialised'}
				: found(input);
		},
	};
}
