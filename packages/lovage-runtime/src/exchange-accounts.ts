import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {
	BufferAccount,
	BufferBudget,
	BufferHolder,
} from './buffer-budget.js';

/** What ends the open exchanges of a connection. */
const endsOfConnections = new WeakMap<Socket, Set<() => void>>();
const accountsOfExchanges = new WeakMap<ServerResponse, BufferAccount[]>();

function listEnds(socket: Socket): Set<() => void> {
	const known = endsOfConnections.get(socket);
	if (known !== undefined) {
		return known;
	}

	const ends = new Set<() => void>();
	endsOfConnections.set(socket, ends);
	socket.once('close', () => {
		ends.forEach((end) => {
			end();
		});
	});
	return ends;
}

function listAccounts(res: ServerResponse): BufferAccount[] {
	const known = accountsOfExchanges.get(res);
	if (known !== undefined) {
		return known;
	}

	const accounts: BufferAccount[] = [];
	const ends = listEnds(res.req.socket);
	const end = (): void => {
		ends.delete(end);
		accounts.splice(0).forEach((account) => {
			account.close();
		});
	};

	accountsOfExchanges.set(res, accounts);
	ends.add(end);
	res.once('close', end);
	return accounts;
}

/**
 * Opens an account that is closed when the response was received, or its connection has
 * ended: a response that waits behind another one reports no end of its own.
 */
export function openExchangeAccount(
	buffers: Pick<BufferBudget, 'open'>,
	holder: BufferHolder,
	res: ServerResponse,
): BufferAccount {
	const account = buffers.open(holder);
	if (res.closed || res.req.socket.destroyed) {
		account.close();
	} else {
		listAccounts(res).push(account);
	}

	return account;
}
