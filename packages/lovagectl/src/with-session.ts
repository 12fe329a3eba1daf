import {createRpcPool} from '@lovagevalve/wire';
import {err} from 'neverthrow';
import type {Agent} from 'undici';
import {
	findControlAddresses,
	findCredentials,
	type ConnectionOptions,
	type Credentials,
} from './connection.js';
import {createControlSession, type ControlSession} from './control-session.js';
import type {Host} from './host.js';
import type {CommandResult} from './outcome.js';

/** Runs a command with a control session and closes its connections afterwards. */
export async function withSession(
	options: ConnectionOptions,
	host: Host,
	run: (session: ControlSession, agent: Agent) => Promise<CommandResult>,
): Promise<CommandResult> {
	const addresses = await findControlAddresses(options, host);
	if (addresses.isErr()) {
		return err(addresses.error);
	}

	const pool = createRpcPool();
	try {
		const session = createControlSession(addresses.value, pool, host);
		return await run(session, pool.agent);
	} finally {
		await pool.close();
	}
}

/** Like {@link withSession}, for commands that need the operator's credentials. */
export async function withCredentials(
	options: ConnectionOptions,
	host: Host,
	run: (
		session: ControlSession,
		credentials: Credentials,
		agent: Agent,
	) => Promise<CommandResult>,
): Promise<CommandResult> {
	const credentials = await findCredentials(options, host);
	return credentials.isErr()
		? err(credentials.error)
		: withSession(options, host, async (session, agent) =>
				run(session, credentials.value, agent),
			);
}
