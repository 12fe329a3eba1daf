// A worker: registers, serves requests, and says in its report when it was born.
import {
	createServer,
	type IncomingMessage,
	type OutgoingHttpHeaders,
	type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {call} from './http.js';
import type {Recorder} from './record.js';
import type {Machine} from './system.js';

/** A worker that serves. */
export type Worker = Readonly<{
	id: string;
	address: string;
	/** Says that it is draining until that is acknowledged; resolves with the time of that. */
	drain: () => Promise<number>;
	stop: () => void;
}>;

/** What a worker is and does. */
export type WorkerOptions = Readonly<{
	record: Recorder;
	controls: readonly Machine[];
	host: string;
	id: string;
	service: string;
	/** Version of its software. */
	version?: string;
	/** Runs a request that was meant for it and has arrived whole. */
	run: (req: IncomingMessage, res: ServerResponse) => void;
}>;

const HEARTBEAT_MS = 1200;
const SLOTS = 6;

/** Reads the id of the client attempt that a request carries. */
export function readId({headers}: IncomingMessage): string {
	return String(headers['x-request-id'] ?? '');
}

/** Creates the head of a worker's answer to a request. */
export function createHead(
	req: IncomingMessage,
	contentType: string,
): OutgoingHttpHeaders {
	const id = readId(req);
	return {
		'X-Request-Id': id,
		'X-Server-Seal': `seal.${id}`,
		'Content-Type': contentType,
	};
}

/** Sends the events of a stream that lasts for so long, from where the request goes on. */
export function sendStream(
	req: IncomingMessage,
	res: ServerResponse,
	{events, lastsMs}: Readonly<{events: number; lastsMs: number}>,
): void {
	let event = Number(req.headers['last-event-id'] ?? 0);
	res.writeHead(200, createHead(req, 'text/event-stream'));
	const timer = setInterval(() => {
		event += 1;
		res.write(`id: ${event}\ndata: token ${event}\n\n`);
		if (event >= events) {
			clearInterval(timer);
			res.end();
		}
	}, lastsMs / events);
	res.on('close', () => {
		clearInterval(timer);
	});
}

/** Starts a worker that sends heartbeats to the control instances. */
export async function startWorker({
	record,
	controls,
	host,
	id,
	service,
	version = 'v1',
	run,
}: WorkerOptions): Promise<Worker> {
	const born = Date.now();
	let sequence = 0;
	let state: 'ready' | 'draining' = 'ready';

	const handle = (req: IncomingMessage, res: ServerResponse): void => {
		const target = req.headers['x-target-instance'];
		if (req.url === '/v1/report') {
			res.writeHead(200, {'Content-Type': 'application/json'});
			res.end(JSON.stringify({born, busy: false, waiting: 0, running: 0}));
		} else if (req.url === '/health') {
			res.writeHead(state === 'ready' ? 200 : 503, {'X-Instance-Id': id});
			res.end();
		} else if (target !== undefined && target !== id) {
			res.writeHead(421, {'X-Request-Id': readId(req), 'X-Not-Executed': '1'});
			res.end();
		} else {
			run(req, res);
		}
	};

	const server = createServer((req, res) => {
		req.on('error', () => undefined);
		res.on('error', () => undefined);
		req.resume();
		req.on('end', () => {
			handle(req, res);
		});
	});
	await new Promise<void>((resolve) => {
		server.listen(0, host, resolve);
	});
	const address = `${host}:${(server.address() as AddressInfo).port}`;

	/** Sends a heartbeat to one control instance after the other; resolves with the one that acknowledges it. */
	const beat = async (): Promise<string | undefined> => {
		sequence += 1;
		const body = JSON.stringify({
			service,
			address,
			zone: 'a',
			version,
			slots: SLOTS,
			state,
			'cold-left-ms': 0,
			sequence,
			born,
		});
		const first = Math.floor(Math.random() * controls.length);
		for (const turn of controls.keys()) {
			const {name, control} = controls[(first + turn) % controls.length]!;
			// eslint-disable-next-line no-await-in-loop -- the next one is asked after a failure
			const {status} = await call({
				address: control,
				method: 'PUT',
				path: `/v1/instances/${id}`,
				headers: {'Content-Type': 'application/json'},
				body,
			});
			if (status === 200) {
				return name;
			}
		}

		return undefined;
	};

	await beat();
	const timer = setInterval(() => {
		void beat();
	}, HEARTBEAT_MS);
	record(`worker ${id} serves at ${address}, born ${born}`);
	return {
		id,
		address,
		async drain() {
			state = 'draining';
			let acknowledging = await beat();
			while (acknowledging === undefined) {
				// eslint-disable-next-line no-await-in-loop -- until it is acknowledged
				acknowledging = await beat();
			}

			record(`${acknowledging} acknowledges that worker ${id} is draining`);
			return performance.now();
		},
		stop() {
			clearInterval(timer);
			server.closeAllConnections();
			server.close();
		},
	};
}

/** Sends one heartbeat that a writer other than the worker made up. */
export async function sendForeignHeartbeat(
	record: Recorder,
	{control, name}: Machine,
	id: string,
	fields: Readonly<Record<string, unknown>>,
): Promise<void> {
	const body = JSON.stringify({...fields, born: Date.now()});
	const {status} = await call({
		address: control,
		method: 'PUT',
		path: `/v1/instances/${id}`,
		headers: {'Content-Type': 'application/json'},
		body,
	});
	record(
		`another writer sends a heartbeat for ${id} to ${name}, which answers ${status}: ${body}`,
	);
}
