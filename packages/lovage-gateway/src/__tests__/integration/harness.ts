import {
	createServer as createHttpServer,
	request,
	type IncomingMessage,
	type RequestListener,
	type Server,
} from 'node:http';
import {
	connect,
	createServer as createTcpServer,
	type AddressInfo,
	type Server as TcpServer,
	type Socket,
} from 'node:net';
import {Buffer} from 'node:buffer';
import {afterEach} from 'vitest';
import type {AgedRecord, Crash, RetryBudgetPolicy} from '@lovagevalve/dispatch';
import {
	createRouteTable,
	type Configuration,
	type EngineLimits,
	type Route,
	type RouteKind,
} from '@lovagevalve/routing';
import {
	type BufferBudget,
	type Clock,
	createBufferBudget,
	type Logger,
	type PrometheusMetrics,
} from '@lovagevalve/runtime';
import {createAdmission} from '../../admission.js';
import {createAnswerTimes} from '../../answer-times.js';
import {type BackendView, createBackendView} from '../../backend-view.js';
import {
	createBrittleBackends,
	type BrittleBackends,
} from '../../brittle-backends.js';
import {createGateway, type Gateway} from '../../gateway.js';
import {createNamedLimits, type NamedLimits} from '../../named-limits.js';
import type {IncarnationQuestions} from '../../context.js';
import type {HeaderCodec} from '../../protocol.js';
import {createRetryBudgets} from '../../retry-budgets.js';
import {createSharedProbes} from '../../shared-probes.js';
import {createStreamOrigins} from '../../stream-origins.js';

const noop = (): undefined => undefined;

export const silentLogger: Logger = {
	debug: noop,
	info: noop,
	warn: noop,
	error: noop,
};

/** Limits of a test without other entries, under a load that each limit restrains. */
export function createTestLimits(
	clock: Clock,
	demandPerSecond = 100,
): NamedLimits {
	return createNamedLimits({
		clock,
		log: silentLogger,
		metrics: silentMetrics,
		initialCredit: 0,
		readDemand: () => demandPerSecond,
	});
}

/** Brittle backend servers of a test without other entries. */
export function createTestBrittle(clock: Clock): BrittleBackends {
	return createBrittleBackends({
		clock,
		log: silentLogger,
		metrics: silentMetrics,
		random: () => 0,
		countEntries: () => 1,
	});
}

export const silentMetrics: PrometheusMetrics = {
	count: noop,
	time: noop,
	registerGauge: noop,
	serve: () => createHttpServer(),
};

/** Buffers of a test that reaches no bound of them. */
export function createTestBuffers(
	capacityBytes = 2 ** 30,
	maxSmallChunks?: number,
): BufferBudget {
	return createBufferBudget({
		capacityBytes,
		...(maxSmallChunks === undefined ? {} : {maxSmallChunks}),
		log: silentLogger,
		metrics: silentMetrics,
	});
}

/** Header names that the fake backend servers use. */
export const testCodec: HeaderCodec = {
	readRequest: (headers) => ({
		id: String(headers['request-id'] ?? ''),
		waitMs: Number(headers['wait-ms'] ?? 2000),
		key: headers.key?.toString(),
		promptTokens: Number(headers.prompt ?? 0),
		outputTokens: 0,
		sharedParts: String(headers.parts ?? '')
			.split(',')
			.filter((part) => part !== ''),
		lastEventId: headers['last-event-id']?.toString(),
	}),
	createBackendHeaders: (rawHeaders, call) => [
		'Host',
		'test',
		'Request-Id',
		rawHeaders[rawHeaders.indexOf('Request-Id') + 1] ?? '',
		'Target',
		call.backend,
		...(call.lastEventId === undefined
			? []
			: ['Last-Event-Id', call.lastEventId]),
		...(call.backupAddress === undefined ? [] : ['Backup', call.backupAddress]),
		...(call.copy === undefined ? [] : ['Copy', call.copy.run]),
		'Content-Length',
		String(call.bodyLength ?? 0),
	],
	createRelayHeaders: (rawHeaders, relay) => [
		...rawHeaders,
		...(relay.lastEventId === undefined
			? []
			: ['Last-Event-Id', relay.lastEventId]),
	],
	readResponse: (_, headers) => ({
		requestId: headers['request-id']?.toString(),
		isNotRun: headers['not-run'] !== undefined,
		isSigned: headers.unsigned === undefined,
		notice: {
			isLeaving: headers.leaving !== undefined,
			...(headers.pushback === undefined
				? {}
				: {pushbackMs: Number(headers.pushback)}),
		},
	}),
	createCopyCommand: (requestId, to) => ({
		method: 'POST',
		path: `/copy/${requestId}`,
		body: to,
	}),
	readCopyHandle: (text) => text,
	createStatusCommand: () => ({method: 'GET', path: '/status'}),
	readBornAt: () => undefined,
	createReleaseCommand: (copy) => ({method: 'DELETE', path: `/copy/${copy}`}),
};

const plainRoute: Route = {
	name: 'plain',
	host: 'test',
	pathPrefix: '/plain/',
	kind: 'idempotent',
	timeoutMs: 2000,
	latencyTargetMs: 2000,
	priority: 1,
	targets: [{service: 's', weight: 1}],
	maxAttempts: 2,
	isAnonymous: true,
	isResumable: false,
	gapTargetMs: 400,
};

const kinds: ReadonlyArray<readonly [string, RouteKind, boolean]> = [
	['/plain/', 'idempotent', false],
	['/once/', 'non-idempotent', false],
	['/stream/', 'stream', true],
	['/stream-once/', 'stream', false],
];

export const configuration: Configuration = {
	version: 1,
	routes: kinds.map(([pathPrefix, kind, isResumable]) => ({
		...plainRoute,
		name: pathPrefix,
		pathPrefix,
		kind,
		isResumable,
	})),
	services: [
		{
			name: 's',
			maxConnections: 100,
			engine: {slots: 8, memoryTokens: 100_000, canBackUp: true, canCopy: true},
		},
	],
	limits: {
		maxHeaderBytes: 8192,
		maxBodyBytes: 10_000,
		headerTimeoutMs: 3000,
		idleTimeoutMs: 5000,
	},
};

/** Changes each route and engine of the configuration. */
export function adaptConfiguration(
	route: Partial<Route>,
	engine: Partial<EngineLimits> = {},
): Configuration {
	return {
		...configuration,
		routes: configuration.routes.map((known) => ({...known, ...route})),
		services: configuration.services.map((service) => ({
			...service,
			engine: {...service.engine!, ...engine},
		})),
	};
}

/** A gateway in front of fake backend servers. */
export type Harness = Readonly<{
	gateway: Gateway;
	view: BackendView;
	port: number;
	crashes: readonly Crash[];
	/** Registers one backend server per port; a later call changes their states. */
	setBackends: (
		ports: readonly number[],
		states?: ReadonlyArray<AgedRecord['state']>,
		softwareVersion?: string,
	) => void;
	close: () => Promise<void>;
}>;

export async function listen(server: Server | TcpServer): Promise<number> {
	return new Promise((resolve) => {
		server.listen(0, '127.0.0.1', () => {
			resolve((server.address() as AddressInfo).port);
		});
	});
}

const AMPLE_RETRIES: RetryBudgetPolicy = {
	windowMs: 10_000,
	ratio: 1,
	extra: 100,
};

/** Each backend server is the incarnation that registered. */
const ALL_PROVED: IncarnationQuestions = {
	ask: async () => ({kind: 'proved'}),
	wasSilent: () => false,
};

/** Parts of a harness that a test replaces. */
export type HarnessParts = Readonly<{
	codec?: HeaderCodec;
	incarnations?: IncarnationQuestions;
	buffers?: BufferBudget;
	/** Streams wait for room at the engines. */
	hasAdmission?: boolean;
}>;

/** Creates a list of cleanups that run after each test of the file. */
export function createCleanups(): Array<() => unknown> {
	const cleanups: Array<() => unknown> = [];
	afterEach(async () => {
		await Promise.all(cleanups.splice(0).map((cleanup) => cleanup()));
	});
	return cleanups;
}

/**
 * Starts a gateway; without `initialConfiguration`, none is known. One with `peers`,
 * which are addresses of other entries, reaches no backend server itself.
 */
export async function startHarness(
	initialConfiguration: Configuration | undefined,
	retryPolicy: RetryBudgetPolicy = AMPLE_RETRIES,
	peers: readonly string[] = [],
	{
		codec = testCodec,
		incarnations = ALL_PROVED,
		buffers = createTestBuffers(),
		hasAdmission = false,
	}: HarnessParts = {},
): Promise<Harness> {
	const isCutOff = peers.length > 0;
	const clock = {now: () => performance.now(), wall: () => Date.now()};
	const view = createBackendView({
		clock,
		brittle: createTestBrittle(clock),
		readRank: () => ({rank: 0, instances: 1}),
		onUnreachable: () => undefined,
		log: silentLogger,
		metrics: silentMetrics,
		registrationIntervalMs: 60_000,
		limits: createTestLimits(clock),
	});
	const crashes: Crash[] = [];
	const routeTable =
		initialConfiguration === undefined
			? undefined
			: createRouteTable(initialConfiguration);
	const admission = hasAdmission
		? createAdmission({
				clock,
				log: silentLogger,
				metrics: silentMetrics,
				random: () => 0,
				dataCentre: 'a',
				readRank: () => ({rank: 0, instances: 1}),
				readTokensPerMs: () => undefined,
				view,
			})
		: undefined;
	const gateway = createGateway({
		admission,
		clock,
		log: silentLogger,
		metrics: silentMetrics,
		buffers,
		codec,
		view,
		retryBudgets: createRetryBudgets(
			retryPolicy,
			clock,
			() => 1,
			() => 0,
		),
		answerTimes: createAnswerTimes(clock.now),
		drainGate: {check: () => undefined},
		random: () => 0,
		dataCentre: 'a',
		readRouteTable: () => routeTable,
		resolveAddress: ({address}) => address,
		incarnations,
		probe: createSharedProbes(),
		reach: {isCutOff: () => isCutOff, confirm: async () => isCutOff},
		listRelays: () => peers,
		origins: createStreamOrigins(clock),
		lookUpOrigin: async () => ({
			controls: 1,
			silentControls: 0,
			answers: [{knownForMs: 60_000, versions: {s: {'': 0}}}],
		}),
		crashes: {
			findQuarantined: () => undefined,
			reportCrash({digest}, backend) {
				crashes.push({digest, backend: backend.id});
			},
			recordSound: noop,
		},
	});
	const port = await listen(gateway.server);
	return {
		gateway,
		view,
		port,
		crashes,
		setBackends(ports, states = [], softwareVersion = undefined) {
			const backends = ports.map((backendPort, i): AgedRecord => ({
				id: `e-${i}`,
				service: 's',
				address: `127.0.0.1:${backendPort}`,
				dataCentre: 'a',
				state: states[i] ?? 'ready',
				softwareVersion,
				slots: 8,
				bornAt: 1,
				sequence: 1,
				ageMs: 0,
			}));
			view.applyReport({
				version: 1,
				controls: [],
				entries: 1,
				known: {epoch: 1, revision: 1},
				backends,
				agesMs: {},
				overview: {serving: [], loads: {}, retries: {}},
				convicted: [],
			});
		},
		async close() {
			gateway.server.closeAllConnections();
			gateway.server.close();
			await gateway.awaitIdle(0);
		},
	};
}

/** A response as the caller received it. */
export type CallerResponse = Readonly<{
	status: number;
	headers: IncomingMessage['headers'];
	body: string;
	/** Whether the response was complete according to HTTP. */
	isWhole: boolean;
}>;

/** Sends a request and reads the response, complete or not. */
export async function call(
	port: number,
	path: string,
	headers: Record<string, string> = {},
	body = '',
): Promise<CallerResponse> {
	return new Promise((resolve) => {
		const req = request({
			host: '127.0.0.1',
			port,
			path,
			method: 'POST',
			agent: false,
			headers: {Host: 'test', 'Request-Id': 'r-1', ...headers},
		});
		req.on('error', () => {
			resolve({status: 0, headers: {}, body: '', isWhole: false});
		});
		req.on('response', (res) => {
			let text = '';
			const end = (isWhole: boolean): void => {
				resolve({
					status: res.statusCode ?? 0,
					headers: res.headers,
					body: text,
					isWhole,
				});
			};

			res.setEncoding('utf8');
			res.on('data', (chunk: string) => {
				text += chunk;
			});
			res.on('end', () => {
				end(res.complete);
			});
			res.on('error', () => {
				end(false);
			});
		});
		req.end(body);
	});
}

/** Starts a fake HTTP backend server. */
export async function startBackend(
	handler: RequestListener,
): Promise<{server: Server; port: number}> {
	const server = createHttpServer(handler);
	return {server, port: await listen(server)};
}

/** Starts a fake backend server that writes raw bytes once a request has arrived. */
export async function startRawBackend(
	onRequest: (socket: Socket, text: string) => void,
): Promise<{server: TcpServer; port: number}> {
	const server = createTcpServer((socket) => {
		socket.on('error', () => undefined);
		socket.once('data', (data) => {
			onRequest(socket, Buffer.from(data).toString('latin1'));
		});
	});
	return {server, port: await listen(server)};
}

/** What arrived on a connection until it ended. */
export type RawAnswer = Readonly<{text: string; isReset: boolean}>;

/** Sends raw bytes and reads until the connection ends. */
export async function exchangeRaw(
	port: number,
	text: string,
): Promise<RawAnswer> {
	return new Promise((resolve) => {
		const socket = connect({port, host: '127.0.0.1', allowHalfOpen: true});
		let received = '';
		const end = (isReset: boolean): void => {
			resolve({text: received, isReset});
			socket.destroy();
		};

		socket.setEncoding('latin1');
		socket.on('data', (chunk: string) => {
			received += chunk;
		});
		socket.on('error', () => {
			end(true);
		});
		// Node.js reports a reset behind unread bytes as an orderly end; a write tells
		// them apart.
		socket.on('end', () => {
			socket.write('\r\n', (error) => {
				end(error instanceof Error);
			});
		});
		socket.write(text);
	});
}

/** A connection on which bytes were sent. */
export type RawConnection = Readonly<{
	socket: Socket;
	/** What was answered so far. */
	read: () => string;
}>;

/** Sends raw bytes on a new connection, which stays open until the test ends. */
export function sendRaw(
	cleanups: Array<() => unknown>,
	port: number,
	text: string,
): RawConnection {
	const socket = connect(port, '127.0.0.1');
	let received = '';
	socket.setEncoding('latin1');
	socket.on('error', () => undefined);
	socket.on('data', (chunk: string) => {
		received += chunk;
	});
	socket.write(text);
	cleanups.push(() => socket.destroy());
	return {socket, read: () => received};
}

/** Formats a server-sent event. */
export function formatEvent(id: number): string {
	return `id: ${id}\ndata: piece ${id}\n\n`;
}
