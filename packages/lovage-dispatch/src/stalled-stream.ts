/** What a new connection to a silent backend server showed. */
export type ProbeState = 'none' | 'pending' | 'alive' | 'dead';

/** What is known of a stream on which nothing arrives. */
export type StallInputs = Readonly<{
	/** Since the last event, or since the request was sent. */
	idleMs: number;
	/** Whether an event has arrived from this backend server. */
	hasFirstEvent: boolean;
	probe: ProbeState;
	/** Another request found the backend server unreachable a moment ago. */
	isKnownUnreachable: boolean;
	/** Since the last probe ended; 0 while there was none. */
	msSinceProbe: number;
	/** Another backend server holds a copy of the run's memory. */
	hasCopy: boolean;
	/** Longest pause for which the stream is on time. */
	gapTargetMs: number;
	/** Time to the first event for which the stream is on time. */
	latencyTargetMs: number;
}>;

/** What to do about a silent stream. */
export type StallAction = 'wait' | 'probe' | 'move';

/** Share of the allowed pause after which a silent stream is looked into. */
const PROBE_GAP_SHARE = 0.35;
/** A pause that engines that live make too, as a share of the allowed pause; a dead one has made it for sure. */
const UNREACHABLE_GAP_SHARE = 0.25;
/** An engine that accepted a connection may have died since: its silence goes on. */
const PROBE_INTERVAL_MS = 400;
/** Share after which a run with a copy elsewhere is moved, though its engine answers. */
const MOVE_WITH_COPY_GAP_SHARE = 0.85;
/** The same without a copy: the prompt is read again, so the pause is long already. */
const MOVE_WITHOUT_COPY_GAP_SHARE = 3;
/** Share of the latency target after which a stream without a first event is moved: an engine that lives is reading prompts, and another one would begin anew. */
const FIRST_EVENT_LATENCY_SHARE = 1.2;

/**
 * Judges a silent stream. Load pattern: the engines of a data centre end at
 * once, some without a reset; and long prompts of others hold up engines that
 * are well, for about as long. Probes tell the two apart.
 */
export function decideStallAction(inputs: StallInputs): StallAction {
	const {idleMs, probe, hasFirstEvent, hasCopy, gapTargetMs} = inputs;
	const isOverdue = idleMs >= gapTargetMs * UNREACHABLE_GAP_SHARE;
	if (probe === 'dead' || (inputs.isKnownUnreachable && isOverdue)) {
		return 'move';
	}

	const limit = hasFirstEvent
		? gapTargetMs *
			(hasCopy ? MOVE_WITH_COPY_GAP_SHARE : MOVE_WITHOUT_COPY_GAP_SHARE)
		: inputs.latencyTargetMs * FIRST_EVENT_LATENCY_SHARE;
	if (idleMs >= limit) {
		return 'move';
	}

	const isProbeDue =
		probe === 'none' ||
		(probe === 'alive' && inputs.msSinceProbe >= PROBE_INTERVAL_MS);
	return isProbeDue && idleMs >= gapTargetMs * PROBE_GAP_SHARE
		? 'probe'
		: 'wait';
}
