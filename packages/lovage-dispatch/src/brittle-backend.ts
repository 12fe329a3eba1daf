/** Load of a backend server beside what it can take at once. */
export type Occupancy = Readonly<{
	/** Requests of this instance. */
	ownRunning: number;
	/** Requests of all instances, as of their last reports. */
	running: number;
	/** The same for its whole service. */
	serviceRunning: number;
	/** Backend servers of its service. */
	backends: number;
	slots: number;
	/** Slots that no other instance uses while the backend server is brittle. */
	ownSlots: number;
	/** Instances that share the slots which their owners leave free. */
	borrowers: number;
}>;

/** What decides whether an instance may use a slot of another one. */
export type BorrowInputs = Readonly<{
	/** Requests of all instances, as of their last reports. */
	running: number;
	/** The same for its whole service, any of which may come here next. */
	serviceRunning: number;
	/** Backend servers of its service. */
	backends: number;
	slots: number;
	/** Instances that share the slots which their owners leave free. */
	borrowers: number;
	/** Time since it became known, or could last not be reached, in milliseconds. */
	steadyForMs: number;
	/** In [0, 1); the same for a backend server until the next reports, see `dealDraw`. */
	draw: number;
}>;

/** What is known of a brittle backend server when a request could be sent to it. */
export type BrittleInputs = Readonly<{
	/** Rejections a second beyond which it falls over, whichever instances cause them. */
	maxRejections: number;
	/** Rejections by it that all instances have seen within the window. */
	rejections: number;
	/** Whether it turned a request of this instance away a short time ago. */
	isCoolingDown: boolean;
	/** The same of a request that used a slot of another instance. */
	isBorrowingPaused: boolean;
	/** Whether another backend server has turned this request away. */
	isRetry: boolean;
	/** Whether this instance may use a slot of another one. */
	mayBorrow: boolean;
	occupancy: Occupancy;
}>;

/** Position of a backend server in its service, and of this instance among all. */
export type SlotShare = Readonly<{
	/** Position of the backend server among those of its service. */
	position: number;
	backends: number;
	slots: number;
	/** Position of this instance among those that serve. */
	rank: number;
	instances: number;
}>;

/** Window in which the rejections of all instances are summed. */
export const REJECTION_WINDOW_MS = 1000;
/** Part of the allowed rejections after which nothing is sent, as sums are known with a delay. */
const USED_SHARE = 0.5;
/** Fill up to which a backend server has slots that others may use. */
const ROOMY_FILL = 0.75;
/** Requests that can start before the loads are known again, for each that runs. */
const STARTS_PER_RUNNING = 4;
/** Time after which the loads of all instances at a backend server that was away are known. */
export const MIN_STEADY_MS = 1000;
const MIN_COOL_DOWN_MS = 1000;
const MAX_COOL_DOWN_MS = 10_000;
/** Time after a cool-down in which a rejection is a repeated one. */
const REPEAT_WINDOW_MS = 3000;

/**
 * Counts the slots of a backend server that belong to one instance. The slots of a
 * service are dealt to the instances in turn, so that together they never send more
 * than fits, without asking each other.
 */
export function countOwnSlots({
	position,
	backends,
	slots,
	rank,
	instances,
}: SlotShare): number {
	return Array.from(
		{length: slots},
		(_, slot) => (slot * backends + position) % instances,
	).filter((owner) => owner === rank).length;
}

/**
 * Counts the instances that share the free slots with this one: one that owns slots
 * of the service needs others rarely, so those that own none share among themselves.
 */
export function countBorrowers({
	backends,
	slots,
	rank,
	instances,
}: SlotShare): number {
	const owners = backends * slots;
	return rank < owners ? instances : instances - owners;
}

/**
 * Whether an instance may use a slot of another one. The loads are known with a
 * delay, so all instances see the same room: each uses a part of it. The load of a
 * backend server that was away a short time ago is not known yet, and one that runs
 * nothing while the others are busy may be away.
 */
export function mayBorrowSlot({
	running,
	serviceRunning,
	backends,
	slots,
	borrowers,
	steadyForMs,
	draw,
}: BorrowInputs): boolean {
	const free = Math.floor(slots * ROOMY_FILL) - running;
	const starts = Math.min(borrowers, STARTS_PER_RUNNING * (serviceRunning + 1));
	const mayBeAway = running === 0 && serviceRunning >= backends;
	return (
		steadyForMs >= MIN_STEADY_MS &&
		!mayBeAway &&
		draw < free / Math.max(1, starts)
	);
}

/**
 * Decides whether a brittle backend server may be sent a request. It must not be
 * used to find out how much it takes: what it turns away counts against all
 * instances together, and the load of one that fell over goes to the others.
 */
export function acceptsBrittle({
	maxRejections,
	rejections,
	isCoolingDown,
	isBorrowingPaused,
	isRetry,
	mayBorrow,
	occupancy: {ownRunning, ownSlots},
}: BrittleInputs): boolean {
	if (rejections >= Math.max(1, maxRejections * USED_SHARE)) {
		return false;
	}

	if (isCoolingDown) {
		return ownRunning < Math.floor(ownSlots / 2);
	}

	const borrows = mayBorrow && !isRetry && !isBorrowingPaused;
	return ownRunning < ownSlots + (borrows ? 1 : 0);
}

/**
 * Whether a request that was turned away used a slot of another instance. That shows
 * that the loads were not known well, and nothing about the slots of its own.
 */
export function isBorrowedSlot({
	ownRunning,
	ownSlots,
}: Pick<Occupancy, 'ownRunning' | 'ownSlots'>): boolean {
	return ownRunning >= ownSlots;
}

/** Counts the instances that can be turned away by a backend server in the same way. */
export function countRejected(
	isBorrowed: boolean,
	instances: number,
	slots: number,
): number {
	return isBorrowed ? instances : Math.min(instances, slots);
}

/**
 * Time for which an instance sends a brittle backend server less after a rejection,
 * so that the `instances` that it turns away stay below what it allows together;
 * `random` is in [0, 1).
 * Doubles with each of the `repeats`, as a server may take less than its slots.
 */
export function chooseCoolDownMs(
	maxRejections: number,
	instances: number,
	repeats: number,
	random: number,
): number {
	const shareMs = (instances * 1000) / Math.max(1, maxRejections * USED_SHARE);
	return Math.min(
		MAX_COOL_DOWN_MS,
		Math.max(MIN_COOL_DOWN_MS, shareMs * (0.5 + random)) * 2 ** repeats,
	);
}

/**
 * Counts the rejections in a row: one that comes soon after a cool-down has ended
 * shows that it was too short; one within it says nothing new.
 */
export function countRepeats(
	repeats: number,
	coolingUntil: number,
	now: number,
): number {
	if (now < coolingUntil) {
		return repeats;
	}

	return now - coolingUntil < REPEAT_WINDOW_MS ? repeats + 1 : 0;
}
