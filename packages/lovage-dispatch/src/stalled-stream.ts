/** Result of opening a new connection to a backend server whose stream has stalled. */
export type ProbeState = 'none' | 'pending' | 'alive' | 'dead';

/** State of a stream on which no events arrive. */
export type StallInputs = Readonly<{
	/** Time since the last event, or since the request was sent if there was none. */
	idleMs: number;
	/** Whether an event has arrived from this backend server. */
	hasFirstEvent: boolean;
	probe: ProbeState;
	/** Another request recently failed to connect to the backend server. */
	isKnownUnreachable: boolean;
	/** Time since the last probe ended; 0 before the first one. */
	msSinceProbe: number;
	/** Whether another backend server holds a copy of the run's KV cache. */
	hasCopy: boolean;
	/** Longest pause between events that meets the service level. */
	gapTargetMs: number;
	/** Longest time to the first event that meets the service level. */
	latencyTargetMs: number;
}>;

/** What to do about a stalled stream: keep waiting, probe its backend server, or move it to another one. */
export type StallAction = 'wait' | 'probe' | 'move';

/** Share of the gap target after which the backend server is probed. */
const PROBE_GAP_SHARE = 0.35;
/** Share of the gap target after which a stream is moved if its backend server is known to be unreachable. Live engines pause this long too, but a dead engine's stream always reaches it. */
const UNREACHABLE_GAP_SHARE = 0.25;
/** Time between probes of a stream that stays stalled: an engine can die after it accepted a probe. */
const PROBE_INTERVAL_MS = 400;
/** Share of the gap target after which a run is moved although its engine accepts connections, if another engine holds a copy. */
const MOVE_WITH_COPY_GAP_SHARE = 0.85;
/** The same without a copy. The limit is higher because the new engine must process the prompt again, which is a long pause in itself. */
const MOVE_WITHOUT_COPY_GAP_SHARE = 3;
/** Share of the latency target after which a stream without a first event is moved. It exceeds 1 because a live engine is still processing prompts, and another engine would start from the beginning. */
const FIRST_EVENT_LATENCY_SHARE = 1.2;

/** How long a stream has been without what it is to bring. */
export type StreamSilence = Readonly<{
	/** Time since the last new event, or since the request was sent. */
	idleMs: number;
	/** Time since any byte of its body. */
	quietMs: number;
}>;

/** A backend server that has sent nothing for longer may have gone silent meanwhile. */
const MAX_QUIET_MS = 500;

/**
 * Whether a stream without new events goes on sending, such as comments: its backend
 * server has not crashed then, whether or not it accepts connections. Bytes soon after
 * the last event are a rest of it.
 */
export function isStillSending({idleMs, quietMs}: StreamSilence): boolean {
	return quietMs < Math.min(idleMs / 2, MAX_QUIET_MS);
}

/**
 * Decides what to do about a stalled stream. When a data centre loses its
 * engines at once, some connections end without a reset. Healthy engines that
 * process other requests' long prompts stall for about as long; probes tell the
 * two cases apart.
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
