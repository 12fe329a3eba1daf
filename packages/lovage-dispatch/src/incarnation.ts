import type {BackendRecord} from './backend-table.js';

/** Identifies one run of a backend server. */
export type Incarnation = Pick<BackendRecord, 'id' | 'bornAt'>;

/** Creates the key of an incarnation in reports and logs. */
export function createIncarnationKey({id, bornAt}: Incarnation): string {
	return `${id}/${bornAt}`;
}

/** Parses the key of an incarnation. */
export function parseIncarnationKey(key: string): Incarnation {
	const slash = key.lastIndexOf('/');
	return {id: key.slice(0, slash), bornAt: Number(key.slice(slash + 1))};
}

/** Whether the latest registration of the backend server is of this incarnation and not of its end. */
export function isRunningIncarnation(
	key: string,
	find: (id: string) => BackendRecord | undefined,
): boolean {
	const {id, bornAt} = parseIncarnationKey(key);
	const record = find(id);
	return record?.bornAt === bornAt && record.state !== 'gone';
}
