import type {Clock} from './clock.js';
import type {Random} from './random.js';
import type {Request} from './request.js';
import {
	ARRIVALS_END_MS,
	BATCH_SIZE,
	FAULT_AT_MS,
	type Deployment,
	type Fault,
} from './scenario.js';

const LONG_ANSWER_SHARE = 0.05;
const LONG_ANSWER_TOKENS = [1000, 2200] as const;
const SHORT_ANSWER_TOKENS = [200, 600] as const;
const PROMPT_TOKENS = [500, 3000] as const;
/** Share of the total capacity that is requested in the first 2 s of a run. */
const INITIAL_LOAD_SHARE = 0.4;
const MAX_KILLER_SENDS = 8;
const RESEND_DELAY_MS = 1000;
const KILLER_TOKENS = 400;
const BATCH_AT_MS = 5000;

type Send = (request: Request) => void;

/** Creates the callers of a run and schedules their requests. */
export function createWorkload(
	context: Readonly<{deployment: Deployment; fault: Fault; clock: Clock}>,
	random: Random,
	send: Send,
) {
	const {deployment, fault, clock} = context;
	const weightedCustomers = deployment.customers.flatMap((customer) =>
		Array.from({length: customer.weight}, () => customer),
	);
	let requestCount = 0;

	const createRequest = (change: Partial<Request> = {}): Request => {
		const customer = random.pick(weightedCustomers);
		const isLong = random.draw() < LONG_ANSWER_SHARE;
		const now = clock.now();
		requestCount++;
		const [low, high] = isLong ? LONG_ANSWER_TOKENS : SHORT_ANSWER_TOKENS;
		const total = Math.floor(random.between(low, high));
		return {
			id: `r${requestCount}`,
			customer: customer.id,
			digest: `d${requestCount}`,
			arrivedAt: now,
			deadlineAt:
				isLong || customer.deadlineMs === undefined
					? undefined
					: now + customer.deadlineMs,
			promptTokens: Math.floor(random.between(...PROMPT_TOKENS)),
			family: customer.id,
			total,
			isKiller: false,
			isOfBatchCustomer:
				fault === 'batch' && customer.id === deployment.customers[0]!.id,
			...change,
		};
	};

	const scheduleArrival = () => {
		clock.schedule(random.exponential(deployment.arrivalMs), () => {
			if (clock.now() < ARRIVALS_END_MS) {
				send(createRequest());
				scheduleArrival();
			}
		});
	};

	const sendKiller = (resends: number) => {
		send(
			createRequest({
				id: `killer${resends}`,
				digest: 'killer',
				total: KILLER_TOKENS,
				isKiller: true,
				deadlineAt: undefined,
			}),
		);
	};

	const initialRequests = Math.floor(
		deployment.engines * deployment.capacity * INITIAL_LOAD_SHARE,
	);
	Array.from({length: initialRequests}, () => random.between(0, 2000)).forEach(
		(delayMs) => {
			clock.schedule(delayMs, () => {
				send(createRequest());
			});
		},
	);
	scheduleArrival();
	if (fault === 'killer') {
		clock.schedule(FAULT_AT_MS, () => {
			sendKiller(0);
		});
	}

	if (fault === 'batch') {
		const {id: customer} = deployment.customers[0]!;
		clock.schedule(BATCH_AT_MS, () => {
			Array.from({length: BATCH_SIZE}, () =>
				createRequest({
					customer,
					deadlineAt: undefined,
					isOfBatchCustomer: true,
				}),
			).forEach(send);
		});
	}

	return {
		/** Resends a failed killer request with a new id. */
		handleEnd(request: Request, outcome: string) {
			const resends = Number(request.id.replace('killer', '')) + 1;
			if (
				request.isKiller &&
				outcome !== 'finished' &&
				outcome !== 'quarantined' &&
				resends < MAX_KILLER_SENDS
			) {
				clock.schedule(RESEND_DELAY_MS, () => {
					sendKiller(resends);
				});
			}
		},
	};
}
