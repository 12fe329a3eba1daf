import type {BackendRecord} from './backend-table.js';
import {parseIncarnationKey} from './incarnation.js';

/** Service and software version that wrote the first event of a stream. */
export type StreamOrigin = Readonly<{
	service: string;
	/** Empty for backend servers that name none. */
	softwareVersion: string;
}>;

/** First event of a stream, as the entry that delivered it saw it. */
export type StreamBeginning = Readonly<{
	/** Incarnation of the backend server that it was asked of, as `id/bornAt`. */
	incarnation: string;
	/** Time of the event, in Unix milliseconds. */
	at: number;
}>;

/** Milliseconds since software versions of a service were last in service, by version. */
export type VersionAges = Readonly<Record<string, number>>;

/** What a control instance knows about a stream that a caller resumes. */
export type OriginAnswer = Readonly<{
	/** Absent if no entry has reported the stream. */
	origin?: StreamOrigin;
	/** Its first event, as far as it is known; older instances don't send it. */
	beginning?: StreamBeginning;
	/**
	 * Whether streams of two origins were reported under the id, or the origin is in
	 * doubt; older instances don't send it.
	 */
	isAmbiguous?: boolean;
	/** Time for which it has known the software versions in service, in milliseconds. */
	knownForMs: number;
	/** Software versions by service. */
	versions: Readonly<Record<string, VersionAges>>;
}>;

/** Everything that is known about the origin of a resumed stream. */
export type OriginEvidence = Readonly<{
	/** Services that may run the request. */
	services: readonly string[];
	/** Longest time since the stream can have begun, in milliseconds. */
	windowMs: number;
	/** Number of control instances that were asked. */
	controls: number;
	/**
	 * Number of those that served lately and neither answered nor have ended: they may
	 * be cut off together with a software version that the others don't know.
	 */
	silentControls: number;
	answers: readonly OriginAnswer[];
	/** Whether the caller names the attempt that began the stream. */
	isNamed: boolean;
	/** Software versions that this entry knows in the only service, if there is one. */
	ownVersions: readonly string[];
}>;

/** Where a resumed stream goes on, or why it can't. */
export type ResumeDecision =
	| Readonly<{
			kind: 'resume';
			origin: StreamOrigin;
			evidence: 'reported' | 'only version';
	  }>
	| Readonly<{kind: 'refuse'; reason: string}>;

/** What to do with a stream while no backend server of its origin takes it. */
export type UnplacedDecision = 'wait' | 'give-up';

/** State of a stream that is bound to its origin and has no backend server. */
export type UnplacedInputs = Readonly<{
	/** Number of backend servers of its software version that are in service. */
	ready: number;
	/** Whether another software version of the service is in service. */
	hasOtherVersions: boolean;
	waitedMs: number;
}>;

/** Longest difference between the clocks of an instance and a backend server. */
const MAX_CLOCK_DIFFERENCE_MS = 1000;
/** Backend servers that crash are back within seconds. */
const MAX_UNPLACED_MS = 5000;

/** Software version of a backend server; empty if it names none. */
export function readSoftwareVersion({
	softwareVersion = '',
}: Pick<BackendRecord, 'softwareVersion'>): string {
	return softwareVersion;
}

/** Whether two streams, or two reports of one, began at the same version of a service. */
export function isSameOrigin(a: StreamOrigin, b: StreamOrigin): boolean {
	return a.service === b.service && a.softwareVersion === b.softwareVersion;
}

/**
 * Whether the software version of a stream's first event is in doubt: its backend
 * server had started again under its id as another version by then, but had not
 * registered yet. `record` is its latest registration.
 */
export function isOriginDoubtful(
	{softwareVersion}: StreamOrigin,
	beginning: StreamBeginning,
	record: BackendRecord | undefined,
): boolean {
	const {id, bornAt} = parseIncarnationKey(beginning.incarnation);
	return (
		record?.id === id &&
		record.bornAt > bornAt &&
		readSoftwareVersion(record) !== softwareVersion &&
		record.bornAt <= beginning.at + MAX_CLOCK_DIFFERENCE_MS
	);
}

/**
 * Whether another incarnation than the one that was asked may have written the first
 * event: its backend server says that it has started again by then, and may be of
 * another software version. `bornAt` is the start that it reports; absent if none.
 */
export function isBeginningReplaced(
	beginning: StreamBeginning,
	bornAt: number | undefined,
): boolean {
	const asked = parseIncarnationKey(beginning.incarnation);
	return (
		bornAt !== undefined &&
		bornAt > asked.bornAt &&
		bornAt <= beginning.at + MAX_CLOCK_DIFFERENCE_MS
	);
}

/**
 * Finds the only software version that can have begun a stream: most control
 * instances have known the versions for the whole time, and they and this entry
 * know no other one.
 */
function findOnlyVersion({
	services: [service, ...otherServices],
	windowMs,
	controls,
	silentControls,
	answers,
	isNamed,
	ownVersions,
}: OriginEvidence): StreamOrigin | undefined {
	// The origin of a named stream is reported; where it is unknown, something is amiss.
	if (isNamed && silentControls > 0) {
		return undefined;
	}

	const informed = answers.filter(({knownForMs}) => knownForMs >= windowMs);
	if (
		service === undefined ||
		otherServices.length > 0 ||
		informed.length * 2 <= controls
	) {
		return undefined;
	}

	const reported = answers.flatMap(({versions}) =>
		Object.entries(versions[service] ?? {})
			.filter(([, ageMs]) => ageMs <= windowMs)
			.map(([version]) => version),
	);
	const [softwareVersion, ...others] = new Set([...reported, ...ownVersions]);
	return softwareVersion === undefined || others.length > 0
		? undefined
		: {service, softwareVersion};
}

/**
 * Decides where a stream goes on that a caller resumes. What two software versions
 * write doesn't fit together and backend servers don't check it, so a stream of
 * unknown origin is refused unless only one version can have begun it.
 */
export function decideResume(evidence: OriginEvidence): ResumeDecision {
	const [origin, ...others] = evidence.answers.flatMap(
		(answer) => answer.origin ?? [],
	);
	const isAmbiguous =
		evidence.answers.some((answer) => answer.isAmbiguous === true) ||
		others.some((other) => !isSameOrigin(origin!, other));
	if (isAmbiguous) {
		return {
			kind: 'refuse',
			reason: 'two software versions may have begun the stream',
		};
	}

	if (origin === undefined) {
		const only = findOnlyVersion(evidence);
		return only === undefined
			? {
					kind: 'refuse',
					reason: 'the software version that began the stream is unknown',
				}
			: {kind: 'resume', origin: only, evidence: 'only version'};
	}

	return evidence.services.includes(origin.service)
		? {kind: 'resume', origin, evidence: 'reported'}
		: {
				kind: 'refuse',
				reason: 'the route leads to other services than that of the stream',
			};
}

/**
 * Decides whether a stream waits for a backend server of its software version. It
 * never goes on at another one; without one in service it ends at once.
 */
export function decideUnplaced({
	ready,
	hasOtherVersions,
	waitedMs,
}: UnplacedInputs): UnplacedDecision {
	if (!hasOtherVersions) {
		return 'wait';
	}

	return ready > 0 && waitedMs < MAX_UNPLACED_MS ? 'wait' : 'give-up';
}
