import type {
	Death,
	PartDigests,
	QuarantineState,
	ReportedDeath,
} from './types.js';

function mergeParts(left: PartDigests, right: PartDigests): PartDigests {
	const added = Object.entries(right).map(
		([key, digests]): [string, readonly string[]] => [
			key,
			[...new Set([...(left[key] ?? []), ...digests])],
		],
	);
	return {...left, ...Object.fromEntries(added)};
}

function mergeSentAt(
	left: Death['sentAt'] = {},
	right: Death['sentAt'] = {},
): Death['sentAt'] {
	const earliest = Object.entries(right).map(
		([digest, sentAt]): [string, number] => [
			digest,
			Math.min(left[digest] ?? sentAt, sentAt),
		],
	);
	return {...left, ...Object.fromEntries(earliest)};
}

function createDeath({at, ...report}: ReportedDeath, now: number): Death {
	return {...report, reportedAt: at ?? now, verdict: 'pending'};
}

function mergeReports(known: Death, report: ReportedDeath): Death {
	const digests = [...new Set([...known.digests, ...report.digests])];
	if (known.parts === undefined) {
		return {...known, digests};
	}

	// A late report of another entry may name the request that is to blame.
	const isUnchanged = digests.length === known.digests.length;
	return {
		...known,
		digests,
		sentAt: mergeSentAt(known.sentAt, report.sentAt),
		parts: mergeParts(known.parts, report.parts ?? {}),
		verdict: isUnchanged ? known.verdict : 'pending',
	};
}

/** Leaves out what was seen to run soundly after the death. */
function dropSound(
	{records}: QuarantineState,
	report: ReportedDeath,
): ReportedDeath {
	const {at, digests, parts} = report;
	const isSuspected = (key: string): boolean =>
		at === undefined ||
		at > (records[key]?.soundAt ?? Number.NEGATIVE_INFINITY);
	return {
		...report,
		digests: digests.filter((digest) => isSuspected(digest)),
		...(parts === undefined
			? {}
			: {
					parts: Object.fromEntries(
						Object.entries(parts).filter(([key]) => isSuspected(key)),
					),
				}),
	};
}

/** Adds a reported death; reports of the same death are merged. */
export function mergeDeath(
	state: QuarantineState,
	reported: ReportedDeath,
): QuarantineState {
	const report = dropSound(state, reported);
	const known = state.deaths.find(
		(death) => state.options.guards.mergeReports && isSameDeath(death, report),
	);
	return known === undefined
		? {...state, deaths: [...state.deaths, createDeath(report, state.now)]}
		: {
				...state,
				deaths: state.deaths.map((death) =>
					death === known ? mergeReports(known, report) : death,
				),
			};
}

function isSameDeath(
	death: Death,
	report: Pick<Death, 'backend' | 'incarnation'>,
): boolean {
	return (
		death.backend === report.backend && death.incarnation === report.incarnation
	);
}

/** Lists the other deaths in the same data centre within the window. */
export function listRelatedDeaths(
	state: QuarantineState,
	death: Death,
): readonly Death[] {
	return state.deaths.filter(
		(other) =>
			other !== death &&
			isSameDataCentre(other, death) &&
			Math.abs(other.reportedAt - death.reportedAt) < state.options.windowMs,
	);
}

function isSameDataCentre(left: Death, right: Death): boolean {
	return left.dataCentre === right.dataCentre;
}

/**
 * Least time between two deaths of which a request caused the second after the first:
 * its entry notices the first, sends the request on, and the next server runs it.
 */
const MIN_STEP_MS = 20;

/**
 * Whether the deaths of two servers under the same digest are one event. Servers that
 * end at the same moment have a common cause, even if the same request runs on all of
 * them. A request that moves from one to the next is sent to the second one after
 * the first one's end.
 */
export function isSameEvent(
	{options}: QuarantineState,
	digest: string,
	left: Death,
	right: Death,
): boolean {
	const [first, second] =
		left.reportedAt <= right.reportedAt ? [left, right] : [right, left];
	const gapMs = second.reportedAt - first.reportedAt;
	const sentAt = second.sentAt?.[digest];
	const isSentOn = sentAt === undefined || sentAt >= first.reportedAt;
	return (
		!isSameDeath(left, right) &&
		gapMs < (isSentOn ? MIN_STEP_MS : options.eventMs)
	);
}

/** Whether a death, or another one of its event, counts against a digest already. */
function isCounted(
	state: QuarantineState,
	digest: string,
	death: Death,
): boolean {
	const {deathTimes = []} = state.records[digest] ?? {};
	return (
		(death.parts !== undefined && deathTimes.includes(death.reportedAt)) ||
		(state.options.guards.countEvents &&
			state.deaths.some(
				(other) =>
					other !== death &&
					other.digests.includes(digest) &&
					deathTimes.includes(other.reportedAt) &&
					isSameEvent(state, digest, other, death),
			))
	);
}

/**
 * Lists the digests that a death counts against. Related deaths probably have a
 * common cause, such as a lost rack. They only count against a digest that ran on
 * several of the backend servers, because it moved from one to the next.
 */
export function listCountedDigests(
	state: QuarantineState,
	death: Death,
): readonly string[] {
	const uncounted = death.digests.filter(
		(digest) => !isCounted(state, digest, death),
	);
	const related = listRelatedDeaths(state, death);
	if (related.length === 0 || !state.options.guards.relatedDeaths) {
		return uncounted;
	}

	return uncounted.filter((digest) =>
		related.some(({digests}) => digests.includes(digest)),
	);
}

/**
 * Lists the parts that a death counts against. Requests with a common part run on
 * many backend servers at a time, so deaths within a window, which may have
 * another common cause, count once.
 */
export function listCountedParts(
	state: QuarantineState,
	{parts = {}, reportedAt}: Death,
): readonly string[] {
	return Object.keys(parts).filter((key) =>
		(state.records[key]?.deathTimes ?? []).every(
			(time) => Math.abs(time - reportedAt) >= state.options.windowMs,
		),
	);
}

/** Whether a convicted part has caused the death. */
export function isExplained(
	{convicted, uncertain = {}}: QuarantineState,
	{parts = {}}: Death,
): boolean {
	return Object.keys(parts).some(
		(key) => convicted[key] !== undefined || uncertain[key] !== undefined,
	);
}

/** Lists the digests and parts of a death. */
export function listKeys({digests, parts = {}}: Death): readonly string[] {
	return [...digests, ...Object.keys(parts)];
}

/** Whether a pending death's window for related deaths has passed. */
export function isWindowOver(state: QuarantineState, death: Death): boolean {
	return (
		death.verdict === 'pending' &&
		death.reportedAt + state.options.windowMs <= state.now
	);
}
