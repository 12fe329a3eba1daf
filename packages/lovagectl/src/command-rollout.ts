import {
	decodeRolloutReadOutcome,
	decodeRolloutRequestOutcome,
	type RolloutReadOutcome,
	type RolloutRequest,
} from '@lovagevalve/coordinator';
import {
	isRolloutDuration,
	isRolloutName,
	MAX_DURATION_MS,
	type RolloutOrder,
} from '@lovagevalve/rollout';
import {err, type Result} from 'neverthrow';
import type {Agent} from 'undici';
import type {ControlSession} from './control-session.js';
import type {Host} from './host.js';
import {
	createError,
	createOutput,
	fail,
	type CommandResult,
} from './outcome.js';
import {callRollouts} from './rollout-client.js';

/** A share lasts for 500 ms at least. */
const POLL_INTERVAL_MS = 500;
const MS_PER_SECOND = 1000;
/** Exit code of `rollout watch` if the version was reverted. */
const EXIT_REVERTED = 1;
/** Exit code of `rollout watch` if the state is not known. */
const EXIT_UNKNOWN = 2;

/** Access to the control instances for a command on roll-outs. */
export type RolloutContext = Readonly<{
	session: Pick<ControlSession, 'addresses'>;
	agent: Agent;
	host: Host;
	/** Time within which a control instance has to confirm a call. */
	timeoutMs: number;
}>;

function findMistake(order: RolloutRequest): string | undefined {
	if (!isRolloutName(order.service) || !isRolloutName(order.to)) {
		return 'the service and the version must be names of 1 to 256 characters';
	}

	return isRolloutDuration(order.durationMs)
		? undefined
		: `the duration must be at most ${MAX_DURATION_MS / MS_PER_SECOND} seconds`;
}

/** Orders a roll-out and waits until the group has committed the order. */
export async function startRollout(
	order: RolloutRequest,
	{session, agent, host, timeoutMs}: RolloutContext,
): Promise<CommandResult> {
	const mistake = findMistake(order);
	if (mistake !== undefined) {
		return fail('usage', mistake);
	}

	const {service, to, durationMs} = order;
	const call = {
		path: '/rollout',
		body: {service, to, durationMs},
		decode: decodeRolloutRequestOutcome,
		timeoutMs,
	} as const;
	const outcome = await callRollouts(session.addresses, call, agent, host);
	if (outcome.isErr()) {
		return fail('unavailable', [
			`the order was not acknowledged: ${outcome.error}`,
			'it may be in force all the same; repeat the command, as a repeated order changes nothing',
		]);
	}

	return outcome.value === 'acknowledged'
		? createOutput([`roll-out of ${service} to ${to} acknowledged`], {
				service,
				to,
				acknowledged: true,
			})
		: fail(
				'conflict',
				`a roll-out of ${service} to another version is running`,
			);
}

function describeEnd(
	service: string,
	{to, stage}: Pick<RolloutOrder, 'to' | 'stage'>,
): CommandResult {
	return createOutput(
		[`roll-out of ${service} to ${to} ${stage}`],
		{service, to, state: stage},
		stage === 'reverted' ? EXIT_REVERTED : undefined,
	);
}

/** Shows the state of a service's newest order until it has succeeded or is reverted. */
export async function watchRollout(
	service: string,
	{session, agent, host, timeoutMs}: RolloutContext,
): Promise<CommandResult> {
	if (!isRolloutName(service)) {
		return fail('usage', 'the service must be a name of 1 to 256 characters');
	}

	const call = {
		path: '/rollout-read',
		body: {service},
		decode: decodeRolloutReadOutcome,
		timeoutMs,
	} as const;
	const read = async (): Promise<Result<RolloutReadOutcome, string>> =>
		callRollouts(session.addresses, call, agent, host);

	let shown: string | undefined;
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- reads are sequential
		const outcome = await read();
		if (outcome.isErr()) {
			const message = `no control instance confirmed the state: ${outcome.error}`;
			return err({
				...createError('unavailable', message),
				exitCode: EXIT_UNKNOWN,
			});
		}

		if (outcome.value.kind !== 'found') {
			const message = `no roll-out of ${service} was ordered`;
			return err({...createError('failed', message), exitCode: EXIT_UNKNOWN});
		}

		const {order} = outcome.value;
		if (order.stage !== 'running') {
			return describeEnd(service, order);
		}

		if (shown !== order.to) {
			shown = order.to;
			host.writeMessage(`roll-out of ${service} to ${order.to} is running`);
		}

		// eslint-disable-next-line no-await-in-loop -- reads are sequential
		await host.sleep(POLL_INTERVAL_MS);
	}
}
