import {Buffer} from 'node:buffer';
import path from 'node:path';
import {
	type AppendFile,
	type FileSystem,
	nodeFileSystem,
} from '@lovagevalve/storage';
import type {Clock} from '@lovagevalve/runtime';
import {err, ok, type Result} from 'neverthrow';

/**
 * Origin of a stream as a control instance stores it; `until` is the wall-clock
 * time up to which its caller may resume it, in milliseconds since the epoch. The
 * last two say where its first event came from, as in the report, and when.
 */
export type StoredOrigin = readonly [
	key: string,
	service: string,
	softwareVersion: string,
	until: number,
	incarnation?: string,
	begunAt?: number,
];

/** Keeps origins of streams over restarts of a control instance. */
export type OriginLog = Readonly<{
	/** Reads the origins that callers may still need, the oldest first. */
	load: () => Promise<Result<readonly StoredOrigin[], string>>;
	/** Appends origins; calls must not overlap. */
	append: (origins: readonly StoredOrigin[]) => Promise<Result<void, string>>;
	close: () => Promise<void>;
}>;

/** Origins in one file; it is removed when callers need none of them any more. */
type Segment = {name: string; count: number; until: number};

const NAME_PATTERN = /^stream-origins-(\d+)\.jsonl$/;
/** Time for which one file is written. */
const SEGMENT_MS = 15_000;
/** Limit of the origins on disk, about 20 MB; the oldest files are removed first. */
const MAX_STORED = 200_000;

function isStoredOrigin(value: unknown): value is StoredOrigin {
	if (!Array.isArray(value) || ![4, 6].includes(value.length)) {
		return false;
	}

	const [key, service, softwareVersion, until, incarnation = '', begunAt = 0] =
		value as unknown[];
	return (
		typeof key === 'string' &&
		typeof service === 'string' &&
		typeof softwareVersion === 'string' &&
		typeof until === 'number' &&
		typeof incarnation === 'string' &&
		typeof begunAt === 'number'
	);
}

function parseOrigin(line: string): StoredOrigin | undefined {
	try {
		const value: unknown = JSON.parse(line);
		return isStoredOrigin(value) ? value : undefined;
	} catch {
		// The end of a file may be torn.
		return undefined;
	}
}

/** Wall-clock time up to which the caller of a stream may resume it. */
function readEnd({3: until}: StoredOrigin): number {
	return until;
}

function createSegment(
	name: string,
	origins: readonly StoredOrigin[],
): Segment {
	return {
		name,
		count: origins.length,
		until: origins.reduce((max, origin) => Math.max(max, readEnd(origin)), 0),
	};
}

/**
 * Creates access to the files of origins in a data folder. They are not synced:
 * an origin that is lost with the machine costs its caller a refusal.
 */
export function createOriginLog(
	clock: Pick<Clock, 'wall'>,
	folder: string,
	fileSystem: FileSystem = nodeFileSystem,
): OriginLog {
	let segments: Segment[] = [];
	let nextNumber = 1;
	let current: Readonly<{file: AppendFile; openedAt: number}> | undefined;

	const closeCurrent = async (): Promise<void> => {
		const closing = current?.file;
		current = undefined;
		await closing?.close();
	};

	const closeQuietly = async (): Promise<void> => {
		try {
			await closeCurrent();
		} catch {
			// Nothing more is written to it.
		}
	};

	const removeOld = async (): Promise<void> => {
		const now = clock.wall();
		const isRemovable = ({until}: Segment, index: number): boolean => {
			const newer = segments.slice(index);
			const count = newer.reduce((sum, segment) => sum + segment.count, 0);
			return until <= now || count > MAX_STORED;
		};

		const removable = segments.filter(isRemovable);
		segments = segments.filter((segment) => !removable.includes(segment));
		await Promise.all(
			removable.map(async ({name}) =>
				fileSystem.remove(path.join(folder, name)),
			),
		);
	};

	const openSegment = async (): Promise<AppendFile> => {
		const now = clock.wall();
		if (current !== undefined) {
			const ageMs = now - current.openedAt;
			if (ageMs >= 0 && ageMs < SEGMENT_MS) {
				return current.file;
			}

			await closeCurrent();
		}

		await removeOld();
		await fileSystem.createFolder(folder);
		const name = `stream-origins-${nextNumber}.jsonl`;
		nextNumber += 1;
		const file = await fileSystem.openAppend(path.join(folder, name));
		current = {file, openedAt: now};
		segments.push(createSegment(name, []));
		return file;
	};

	const loadSegment = async (
		name: string,
	): Promise<readonly StoredOrigin[]> => {
		const content = await fileSystem.read(path.join(folder, name));
		const now = clock.wall();
		const origins = Buffer.from(content ?? [])
			.toString('utf8')
			.split('\n')
			.map((line) => parseOrigin(line))
			.filter((origin) => origin !== undefined)
			.filter((origin) => readEnd(origin) > now);
		segments.push(createSegment(name, origins));
		return origins;
	};

	return {
		async load() {
			try {
				await fileSystem.createFolder(folder);
				const listed = await fileSystem.list(folder);
				const numbers = listed
					.flatMap((name) => NAME_PATTERN.exec(name)?.[1] ?? [])
					.map(Number)
					.toSorted((a, b) => a - b);
				nextNumber = (numbers.at(-1) ?? 0) + 1;
				const loaded: StoredOrigin[] = [];
				for (const number of numbers) {
					// eslint-disable-next-line no-await-in-loop -- one file in memory at a time
					const origins = await loadSegment(`stream-origins-${number}.jsonl`);
					origins.forEach((origin) => loaded.push(origin));
				}

				await removeOld();
				return ok(loaded.slice(-MAX_STORED));
			} catch (error) {
				return err(String(error));
			}
		},
		async append(origins) {
			try {
				const file = await openSegment();
				const segment = segments.at(-1)!;
				segment.count += origins.length;
				segment.until = Math.max(
					segment.until,
					createSegment('', origins).until,
				);
				const lines = origins.map((origin) => `${JSON.stringify(origin)}\n`);
				await file.append(Buffer.from(lines.join('')));
				return ok();
			} catch (error) {
				// What was written of the last line stays apart from the next ones.
				await closeQuietly();
				return err(String(error));
			}
		},
		close: closeCurrent,
	};
}
