import type {Announcement, AnnouncementResponse} from '@lovagevalve/wire';
import {fetch} from 'undici';

const ANNOUNCE_TIMEOUT_MS = 1000;
const RETRY_MS = 250;
const DEFAULT_EVERY_MS = 1000;

/** What the announcer fills in by itself. */
type Generated = 'incarnation' | 'sequence' | 'state';

/** Announces a backend server until it is stopped. */
export type Announcer = Readonly<{
	/** Announces at once that no new work is wanted. */
	leave: () => void;
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
		return res.ok ? (answer.everyMs ?? DEFAULT_EVERY_MS) : undefined;
	} catch {
		return undefined;
	}
}

/** Announces to one of the entries, and to the next when one fails. */
export function createAnnouncer(
	entries: readonly string[],
	describe: () => Omit<Announcement, Generated>,
): Announcer {
	const incarnation = Date.now();
	let sequence = 0;
	let entryIndex = 0;
	let state: Announcement['state'] = 'serving';
	let timer: NodeJS.Timeout | undefined;
	let stopped = entries.length === 0;
	let sending = false;

	const schedule = (delayMs: number): void => {
		clearTimeout(timer);
		if (!stopped) {
			timer = setTimeout(announce, delayMs);
		}
	};

	const announce = async (): Promise<void> => {
		if (sending) {
			return;
		}

		sending = true;
		const entry = entries[entryIndex % entries.length]!;
		const sentState = state;
		const announcement = {...describe(), incarnation, sequence, state};
		sequence += 1;
		const everyMs = await sendAnnouncement(entry, announcement);
		sending = false;
		if (everyMs === undefined) {
			entryIndex += 1;
		}

		schedule(sentState === state ? (everyMs ?? RETRY_MS) : 0);
	};

	schedule(0);
	return {
		leave() {
			state = 'leaving';
			schedule(0);
		},
		stop() {
			stopped = true;
			clearTimeout(timer);
		},
	};
}
