import {
	isLeaving,
	type EntryEvent,
	type EntryState,
	type Quarantine,
} from '@lovagevalve/entry-role';
import type {Clock, Logger} from '@lovagevalve/runtime';
import type {RenewRequest} from '@lovagevalve/wire';
import type {ControlGroupClient} from './control-group-client.js';

/** Periodically renews the lease on the configuration. */
export type LeaseRenewal = Readonly<{
	/** Renews immediately, or as soon as the current renewal has finished. */
	renewNow: () => void;
	stop: () => void;
}>;

/** Dependencies of the lease renewal. */
export type LeaseRenewalOptions = Readonly<{
	controlGroup: ControlGroupClient;
	clock: Clock;
	log: Logger;
	readState: () => EntryState;
	update: (event: EntryEvent) => void;
	updateQuarantine: (quarantine: Quarantine) => void;
}>;

function createRenewRequest(state: EntryState): RenewRequest {
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

/** Starts the renewal loop; the first renewal is sent immediately. */
export function startLeaseRenewal(
	renewalOptions: LeaseRenewalOptions,
): LeaseRenewal {
	const {controlGroup, clock, log, readState, update, updateQuarantine} =
		renewalOptions;
	let timer: NodeJS.Timeout | undefined;
	let isStopped = false;
	let isRunning = false;
	let isRenewalRequested = false;
	let hadLease = false;

	const renew = async (): Promise<void> => {
		const askedAt = clock.now();
		const req = createRenewRequest(readState());
		const answer = await controlGroup.call(
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
				updateQuarantine(answer.quarantine);
			}
		}
	};

	const loop = async (): Promise<void> => {
		isRunning = true;
		isRenewalRequested = false;
		const previousVersion = readState().lease.version;
		await renew();
		isRunning = false;
		if (isStopped) {
			return;
		}

		const {lease, options} = readState();
		if (lease.version !== previousVersion) {
			log.info('Applied a configuration.', {version: lease.version});
			isRenewalRequested = true;
		}

		timer = setTimeout(loop, isRenewalRequested ? 0 : options.renewEveryMs);
	};

	void loop();
	return {
		renewNow() {
			isRenewalRequested = true;
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
