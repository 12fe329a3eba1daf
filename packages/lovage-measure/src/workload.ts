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

const LONG_SHARE = 0.05;
const LONG_TOKENS = [1000, 2200] as const;
const SHORT_TOKENS = [200, 600] as const;
const PROMPT_TOKENS = [500, 3000] as const;
const WARM_SHARE = 0.4;
const MAX_RESENDS = 8;
const RESEND_MS = 1000;
const KILLER_TOKENS = 400;
const BATCH_AT_MS = 5000;

type Send = (request: Request) => void;

/** Creates the callers of a run. */
export function createWorkload(
	scene: Readonly<{deployment: Deployment; fault: Fault; clock: Clock}>,
	random: Random,
	send: Send,
) {
	const {deployment, fault, clock} = scene;
	const weighted = deployment.customers.flatMap((customer) =>
		Array.from({length: customer.weight}, () => customer),
	);
	let count = 0;

	const create = (change: Partial<Request> = {}): Request => {
		const customer = random.pick(weighted);
		const isLong = random.draw() < LONG_SHARE;
		const now = clock.now();
		count++;
		const [low, high] = isLong ? LONG_TOKENS : SHORT_TOKENS;
		const total = Math.floor(random.between(low, high));
		return {
			id: `r${count}`,
			customer: customer.id,
			digest: `d${count}`,
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

	const arriveLater = () => {
		clock.schedule(random.exponential(deployment.arrivalMs), () => {
			if (clock.now() < ARRIVALS_END_MS) {
				send(create());
				arriveLater();
			}
		});
	};

	const sendKiller = (resends: number) => {
		send(
			create({
				id: `killer${resends}`,
				digest: 'killer',
				total: KILLER_TOKENS,
				isKiller: true,
				deadlineAt: undefined,
			}),
		);
	};

	const warm = Math.floor(
		deployment.engines * deployment.capacity * WARM_SHARE,
	);
	Array.from({length: warm}, () => random.between(0, 2000)).forEach(
		(delayMs) => {
			clock.schedule(delayMs, () => {
				send(create());
			});
		},
	);
	arriveLater();
	if (fault === 'killer') {
		clock.schedule(FAULT_AT_MS, () => {
			sendKiller(0);
		});
	}

	if (fault === 'batch') {
		const {id: customer} = deployment.customers[0]!;
		clock.schedule(BATCH_AT_MS, () => {
			Array.from({length: BATCH_SIZE}, () =>
				create({
					customer,
					deadlineAt: undefined,
					isOfBatchCustomer: true,
				}),
			).forEach(send);
		});
	}

	return {
		/** The caller of a killer sends it again with a new id. */
		noteEnd(request: Request, outcome: string) {
			const resends = Number(request.id.replace('killer', '')) + 1;
			if (
				request.isKiller &&
				outcome !== 'finished' &&
				outcome !== 'quarantined' &&
				resends < MAX_RESENDS
			) {
				clock.schedule(RESEND_MS, () => {
					sendKiller(resends);
				});
			}
		},
	};
}
