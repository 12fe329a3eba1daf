import {type BackendRecord, MIN_STEADY_MS} from '@lovagevalve/dispatch';
import type {Clock} from '@lovagevalve/runtime';

/** Since when backend servers have been in service without a break, as this entry saw it. */
export type SteadyBackends = Readonly<{
	/** Records that a backend server is registered. */
	recordKnown: (backend: BackendRecord) => void;
	/**
	 * Records that an incarnation is found to be brittle. If it is new, the entries
	 * have only begun to send to it.
	 */
	recordBrittle: (id: string, bornAt: number) => void;
	/** Records that a backend server could not be reached. */
	recordUnreachable: (backend: BackendRecord) => void;
	/** Time since an incarnation became known, or could last not be reached, in milliseconds. */
	readSteadyMs: (backend: BackendRecord) => number;
	/** Forgets the backend servers that are no longer listed. */
	removeEnded: (find: (id: string) => BackendRecord | undefined) => void;
}>;

/** Time for which an incarnation is new: the first answers of one may take as long again. */
const NEW_MS = 2 * MIN_STEADY_MS;

/** Creates the state of an entry that knows no backend server. */
export function createSteadyBackends(clock: Clock): SteadyBackends {
	const steady = new Map<string, Readonly<{bornAt: number; since: number}>>();
	const restart = ({
		id,
		bornAt,
	}: Pick<BackendRecord, 'id' | 'bornAt'>): void => {
		steady.set(id, {bornAt, since: clock.now()});
	};

	const readSteadyMs = (id: string, bornAt: number): number => {
		const known = steady.get(id);
		return known?.bornAt === bornAt ? clock.now() - known.since : 0;
	};

	return {
		recordKnown(backend) {
			if (steady.get(backend.id)?.bornAt !== backend.bornAt) {
				restart(backend);
			}
		},
		recordUnreachable: restart,
		recordBrittle(id, bornAt) {
			const isCurrent = steady.get(id)?.bornAt === bornAt;
			if (isCurrent && readSteadyMs(id, bornAt) < NEW_MS) {
				restart({id, bornAt});
			}
		},
		readSteadyMs: ({id, bornAt}) => readSteadyMs(id, bornAt),
		removeEnded(find) {
			[...steady.keys()]
				.filter((id) => find(id) === undefined)
				.forEach((id) => {
					steady.delete(id);
				});
		},
	};
}
