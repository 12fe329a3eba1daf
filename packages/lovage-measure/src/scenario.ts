/** What goes wrong in a run. */
export type Fault =
	| 'engine-death'
	| 'twice'
	| 'pause'
	| 'dead-connection'
	| 'rack'
	| 'data-centre'
	| 'killer'
	| 'batch';

/** Every kind of fault, in the order of the table. */
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

/** The size and the load of one deployment. */
export type Deployment = Readonly<{
	name: string;
	/** What its services weigh more. */
	objective: 'resume-latency' | 'resource-use';
	dataCentres: readonly string[];
	engines: number;
	capacity: number;
	entries: number;
	customers: ReadonlyArray<
		Readonly<{id: string; weight: number; deadlineMs?: number}>
	>;
	/** Mean time between two requests. */
	arrivalMs: number;
}>;

const LARGE_CUSTOMER_WEIGHT = 5;
const DEADLINE_MS = 60_000;

function createCustomers(prefix: string): Deployment['customers'] {
	return Array.from({length: 10}, (_, i) => ({
		id: `${prefix}${i}`,
		weight: i < 3 ? LARGE_CUSTOMER_WEIGHT : 1,
		deadlineMs: i % 2 === 0 ? undefined : DEADLINE_MS,
	}));
}

/** Both deployments of today. */
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

/** When the fault comes. */
export const FAULT_AT_MS = 15_000;
/** When the last request arrives. */
export const ARRIVALS_END_MS = 22_000;
/** When a run is cut, finished or not. */
export const RUN_END_MS = 240_000;
/** Time after the last answer in which accounts close. */
export const SETTLE_MS = 12_000;
/** Requests of the overnight batch, at once. */
export const BATCH_SIZE = 300;
