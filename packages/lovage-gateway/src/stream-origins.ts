import {createHash} from 'node:crypto';
import {
	isSameOrigin,
	type OriginReport,
	type StreamBeginning,
	type StreamOrigin,
} from '@lovagevalve/dispatch';
import type {Clock} from '@lovagevalve/runtime';

/** Origins of the streams that this entry has delivered events of. */
export type StreamOrigins = Readonly<{
	/** Remembers a stream for as long as its caller may resume it. */
	record: (
		key: string,
		origin: StreamOrigin,
		keepMs: number,
		beginning?: StreamBeginning,
	) => void;
	/** Remembers a stream that another entry began; two origins make it ambiguous. */
	recordTold: (
		key: string,
		origin: StreamOrigin,
		keepMs: number,
		beginning: StreamBeginning | undefined,
	) => void;
	/** Records that the registered incarnation wrote the first event, which ends any doubt. */
	confirmBeginning: (key: string) => void;
	find: (key: string) => KnownOrigin | undefined;
	/** Describes the origins recorded after a sequence number, the oldest first. */
	createReport: (after: number) => OriginsUpdate;
	/** Describes those of them that this entry recorded itself, up to a time. */
	createTelling: (after: number, recordedBefore: number) => OriginsUpdate;
}>;

/** Part of the origins for a control instance. */
export type OriginsUpdate = Readonly<{
	origins: readonly OriginReport[];
	/** Sequence number of the last origin in the update. */
	sequence: number;
}>;

/** Origin of a stream as this entry knows it. */
export type KnownOrigin = Readonly<{
	origin: StreamOrigin;
	/** Absent if it is proved, or if another entry delivered the first event. */
	beginning?: StreamBeginning;
	/** Another entry named another origin. */
	isAmbiguous?: boolean;
}>;

type RecordedOrigin = Readonly<{
	origin: StreamOrigin;
	beginning?: StreamBeginning;
	/** End of the time in which the caller may resume, in monotonic milliseconds. */
	until: number;
	sequence: number;
	/** In monotonic milliseconds. */
	recordedAt: number;
	/** Another entry recorded it. */
	isTold: boolean;
	isAmbiguous?: boolean;
}>;

/** Limit of the origins in memory; the oldest are dropped first. */
const MAX_ORIGINS = 20_000;
/** Limit of the origins in one report. */
const MAX_REPORTED = 400;
const KEY_LENGTH = 16;

/** Identifies a caller's attempt by its customer and id, in a bounded length. */
export function createStreamKey(
	customer: string | undefined,
	requestId: string,
): string {
	return createHash('sha256')
		.update(`${customer ?? ''}\n${requestId}`)
		.digest('base64url')
		.slice(0, KEY_LENGTH);
}

function describeBeginning(
	beginning: StreamBeginning | undefined,
	now: number,
): readonly [incarnation?: string, ageMs?: number] {
	return beginning === undefined
		? []
		: [beginning.incarnation, Math.round(now - beginning.at)];
}

/** Creates a memory without any origins. */
export function createStreamOrigins(clock: Clock): StreamOrigins {
	/** In the order of their sequence numbers. */
	const recorded = new Map<string, RecordedOrigin>();
	let lastSequence = 0;

	const removeExpired = (): void => {
		const now = clock.now();
		for (const [key, {until}] of recorded) {
			if (until > now && recorded.size <= MAX_ORIGINS) {
				return;
			}

			recorded.delete(key);
		}
	};

	const add = (
		key: string,
		entry: Omit<RecordedOrigin, 'sequence' | 'recordedAt'>,
	): void => {
		lastSequence += 1;
		recorded.delete(key);
		recorded.set(key, {
			...entry,
			sequence: lastSequence,
			recordedAt: clock.now(),
		});
		removeExpired();
	};

	const describe = (
		entries: ReadonlyArray<readonly [string, RecordedOrigin]>,
		after: number,
	): OriginsUpdate => {
		const now = clock.now();
		const missing = entries
			.filter(([, {sequence}]) => sequence > after)
			.slice(0, MAX_REPORTED);
		return {
			origins: missing.map(([key, {origin, until, beginning}]) => [
				key,
				origin.service,
				origin.softwareVersion,
				Math.max(0, Math.round(until - now)),
				...describeBeginning(beginning, clock.wall()),
			]),
			sequence: missing.at(-1)?.[1].sequence ?? after,
		};
	};

	return {
		record(key, origin, keepMs, beginning = recorded.get(key)?.beginning) {
			add(key, {
				origin,
				beginning,
				until: clock.now() + keepMs,
				isTold: false,
			});
		},
		recordTold(key, origin, keepMs, beginning) {
			const known = recorded.get(key);
			const until = clock.now() + keepMs;
			if (known === undefined) {
				add(key, {origin, beginning, until, isTold: true});
			} else if (!isSameOrigin(known.origin, origin)) {
				recorded.set(key, {...known, isAmbiguous: true});
			}
		},
		confirmBeginning(key) {
			const known = recorded.get(key);
			if (known !== undefined) {
				recorded.set(key, {...known, beginning: undefined});
			}
		},
		find: (key) => recorded.get(key),
		createReport: (after) => describe([...recorded], after),
		createTelling: (after, recordedBefore) =>
			describe(
				[...recorded].filter(
					([, {isTold, recordedAt}]) => !isTold && recordedAt <= recordedBefore,
				),
				after,
			),
	};
}
