/** The fault that a run injects. */
export type Fault =
	| 'engine-death'
	| 'twice'
	| 'pause'
	| 'dead-connection'
	| 'rack'
	| 'data-centre'
	| 'killer'
	| 'batch';

/** All faults, in the order of the table. */
export const FAULT_KINDS: readonly Fault[] = [
	'engine-death',
	'twice',
	'pause',
	'dead-connection',
	'rack',
	'data-centre',
	'killer',
	'batch',
];

/** Size and load of a deployment. */
export type Deployment = Readonly<{
	name: string;
	/** Objective of its services. */
	objective: 'resume-latency' | 'resource-use';
	dataCentres: readonly string[];
	engines: number;
	capacity: number;
	entries: number;
	customers: ReadonlyArray<
		Readonly<{id: string; weight: number; deadlineMs?: number}>
	>;
	/** Mean time between two requests, in milliseconds. */
	arrivalMs: number;
}>;

/** Requests of a large customer for each request of a small one, on average. */
const LARGE_CUSTOMER_WEIGHT = 5;
const DEADLINE_MS = 60_000;

function createCustomers(prefix: string): Deployment['customers'] {
	return Array.from({length: 10}, (_, i) => ({
		id: `${prefix}${i}`,
		weight: i < 3 ? LARGE_CUSTOMER_WEIGHT : 1,
		deadlineMs: i % 2 === 0 ? undefined : DEADLINE_MS,
	}));
}

/** The current deployments. */
export const DEPLOYMENTS: readonly Deployment[] = [
	{
		name: 'verselight',
		objective: 'resume-latency',
		dataCentres: ['a', 'b', 'c', 'd'],
		engines: 17,
		capacity: 8,
		entries: 8,
		customers: createCustomers('label'),
		arrivalMs: 210,
	},
	{
		name: 'cooperativa',
		objective: 'resource-use',
		dataCentres: ['a', 'b', 'c'],
		engines: 25,
		capacity: 8,
		entries: 8,
		customers: createCustomers('school'),
		arrivalMs: 140,
	},
];

/** Time of the fault. */
export const FAULT_AT_MS = 15_000;
/** Time after which no new requests arrive, except resends. */
export const ARRIVALS_END_MS = 22_000;
/** Time at which a run is stopped, finished or not. */
export const RUN_END_MS = 240_000;
/** Time after the last answer for counting the work of ended requests. */
export const SETTLE_MS = 12_000;
/** Requests of the overnight batch, which arrive at once. */
export const BATCH_SIZE = 300;
