import {
	isLeaving,
	type EntryEvent,
	type EntryState,
	type Quarantine,
} from '@lovagevalve/entry-role';
import type {Clock, Logger} from '@lovagevalve/runtime';
import type {RenewRequest} from '@lovagevalve/wire';
import type {ControlLink} from './control-link.js';

/** Renews the lease on the configuration again and again. */
export type LeaseRenewal = Readonly<{
	/** Renews at once, once the renewal under way has ended. */
	renewNow: () => void;
	stop: () => void;
}>;

/** What the renewal works on. */
export type RenewalParts = Readonly<{
	link: ControlLink;
	clock: Clock;
	log: Logger;
	readState: () => EntryState;
	update: (event: EntryEvent) => void;
	learnQuarantine: (quarantine: Quarantine) => void;
}>;

function describeEntry(state: EntryState): RenewRequest {
	const {id, address, dataCentre, incarnation} = state.options;
	return {
		entry: {
			id,
			address,
			dataCentre,
			incarnation,
			state: isLeaving(state) ? 'leaving' : 'serving',
		},
		appliedVersion: state.lease.version,
		quarantineVersion: state.quarantine.version,
		backends: [...state.view.values()].map(({announcement}) => ({
			id: announcement.id,
			service: announcement.service,
			address: announcement.address,
			incarnation: announcement.incarnation,
			state: announcement.state,
			role: announcement.role,
			models: announcement.models.map(({id, version, adapters}) => ({
				id,
				version,
				adapters: [...adapters],
			})),
		})),
	};
}

/** Starts the renewals; the first one is sent at once. */
export function startLeaseRenewal(parts: RenewalParts): LeaseRenewal {
	const {link, clock, log, readState, update, learnQuarantine} = parts;
	let timer: NodeJS.Timeout | undefined;
	let isStopped = false;
	let isRunning = false;
	let isWanted = false;
	let hadLease = false;

	const renew = async (): Promise<void> => {
		const askedAt = clock.now();
		const req = describeEntry(readState());
		const answer = await link.ask(
			async (client, signal) => client.renewLease.mutate(req, {signal}),
			readState().options.renewEveryMs,
		);
		if (isStopped) {
			return;
		}

		if (hadLease !== (answer !== undefined)) {
			hadLease = answer !== undefined;
			log.info(hadLease ? 'Renewed the lease.' : 'The lease was not renewed.');
		}

		if (answer) {
			update({kind: 'lease-granted', askedAt, grant: answer, now: clock.now()});
			if (answer.quarantine) {
				learnQuarantine(answer.quarantine);
			}
		}
	};

	const loop = async (): Promise<void> => {
		isRunning = true;
		isWanted = false;
		const before = readState().lease.version;
		await renew();
		isRunning = false;
		if (isStopped) {
			return;
		}

		const {lease, options} = readState();
		if (lease.version !== before) {
			log.info('Applied a configuration.', {version: lease.version});
			isWanted = true;
		}

		timer = setTimeout(loop, isWanted ? 0 : options.renewEveryMs);
	};

	void loop();
	return {
		renewNow() {
			isWanted = true;
			if (!isRunning && !isStopped) {
				clearTimeout(timer);
				void loop();
			}
		},
		stop() {
			isStopped = true;
			clearTimeout(timer);
		},
	};
}
