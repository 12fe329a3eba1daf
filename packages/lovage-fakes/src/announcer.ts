import type {Announcement, AnnouncementResponse} from '@lovagevalve/wire';
import {fetch} from 'undici';

const ANNOUNCE_TIMEOUT_MS = 1000;
const RETRY_DELAY_MS = 250;
const DEFAULT_INTERVAL_MS = 1000;

/** Fields that the announcer sets itself. */
type GeneratedField = 'incarnation' | 'sequence' | 'state';

/** Announces a backend server periodically until it is stopped. */
export type Announcer = Readonly<{
	/** Announces at once that the backend server accepts no new work. */
	announceLeaving: () => void;
	stop: () => void;
}>;

async function sendAnnouncement(
	entry: string,
	announcement: Announcement,
): Promise<number | undefined> {
	try {
		const res = await fetch(`${entry}/v1/backend-servers`, {
			method: 'POST',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify(announcement),
			signal: AbortSignal.timeout(ANNOUNCE_TIMEOUT_MS),
		});
		const answer = (await res.json()) as Partial<AnnouncementResponse>;
		return res.ok ? (answer.everyMs ?? DEFAULT_INTERVAL_MS) : undefined;
	} catch {
		return undefined;
	}
}

/**
 * Creates an announcer that sends to one entry at a time and switches to the
 * next one after a failure.
 */
export function createAnnouncer(
	entries: readonly string[],
	describe: () => Omit<Announcement, GeneratedField>,
): Announcer {
	const incarnation = Date.now();
	let sequence = 0;
	let entryIndex = 0;
	let state: Announcement['state'] = 'serving';
	let timer: NodeJS.Timeout | undefined;
	let isStopped = entries.length === 0;
	let isSending = false;

	const schedule = (delayMs: number): void => {
		clearTimeout(timer);
		if (!isStopped) {
			timer = setTimeout(announce, delayMs);
		}
	};

	const announce = async (): Promise<void> => {
		if (isSending) {
			return;
		}

		isSending = true;
		const entry = entries[entryIndex % entries.length]!;
		const sentState = state;
		const announcement = {...describe(), incarnation, sequence, state};
		sequence += 1;
		const everyMs = await sendAnnouncement(entry, announcement);
		isSending = false;
		if (everyMs === undefined) {
			entryIndex += 1;
		}

		schedule(sentState === state ? (everyMs ?? RETRY_DELAY_MS) : 0);
	};

	schedule(0);
	return {
		announceLeaving() {
			state = 'leaving';
			schedule(0);
		},
		stop() {
			isStopped = true;
			clearTimeout(timer);
		},
	};
}
