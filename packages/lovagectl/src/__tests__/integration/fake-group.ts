import {trpcServer} from '@hono/trpc-server';
import {serveHttp, type HttpServer} from '@lovagevalve/runtime';
import {
	createControlRouter,
	RPC_PATH,
	type ControlHandlers,
	type ControlStatus,
} from '@lovagevalve/wire';
import {Hono} from 'hono';
import type {Host} from '../../host.js';

async function rejectUnexpectedCall(): Promise<never> {
	throw new Error('unexpected call');
}

/** Status of a control instance that belongs to no group. */
export const UNASSIGNED: ControlStatus = {
	replica: 'r1',
	name: 'one',
	role: 'unassigned',
	term: 0,
	commitIndex: 0,
	lastIndex: 0,
	snapshotIndex: 0,
	configurationVersion: 0,
	members: [],
	unknownBackends: [],
	orders: [],
};

/** A simulated control instance or entry. */
export type FakeServer = Readonly<{address: string; server: HttpServer}>;

/** Serves an application on a free port. */
export async function serve(app: Hono): Promise<FakeServer> {
	const served = await serveHttp(app, '127.0.0.1', 0);
	const server = served._unsafeUnwrap();
	return {address: `http://127.0.0.1:${server.port}`, server};
}

/** Serves a simulated control instance; other calls than `handlers` fail. */
export async function serveControl(
	handlers: Partial<ControlHandlers>,
): Promise<FakeServer> {
	const router = createControlRouter({
		deliver: rejectUnexpectedCall,
		join: rejectUnexpectedCall,
		initialise: rejectUnexpectedCall,
		status: async () => UNASSIGNED,
		renewLease: rejectUnexpectedCall,
		apply: rejectUnexpectedCall,
		readConfiguration: async () => ({kind: 'read', version: 0}),
		progress: rejectUnexpectedCall,
		openClaim: rejectUnexpectedCall,
		refuseClaim: rejectUnexpectedCall,
		settleClaim: rejectUnexpectedCall,
		reportDeaths: rejectUnexpectedCall,
		...handlers,
	});
	const app = new Hono();
	app.use(`${RPC_PATH}/*`, trpcServer({router, endpoint: RPC_PATH}));
	return serve(app);
}

/** Creates a host that records its output and advances a simulated clock. */
export function createTestHost(env: Record<string, string> = {}): {
	host: Host;
	results: string[];
	messages: string[];
} {
	const results: string[] = [];
	const messages: string[] = [];
	let now = 0;
	const host: Host = {
		env,
		writeResult(line) {
			results.push(line);
		},
		writeMessage(line) {
			messages.push(line);
		},
		readInput: async () => 'secret\n',
		now: () => now,
		wall: () => now,
		random: () => 0,
		createId: () => 'generated-id',
		async sleep(ms) {
			now += ms;
		},
	};
	return {host, results, messages};
}
