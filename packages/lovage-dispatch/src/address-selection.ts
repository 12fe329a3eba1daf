/** An entry to which callers may be directed. */
export type ServingEntry = Readonly<{
	address: string;
	/** Absent if it is not known here. */
	dataCentre?: string;
	/** Share of callers that it can serve, in cores; absent if it is not known. */
	capacity?: number;
}>;

/** Data centre and capacity of a serving entry, as reports hold them; a capacity of 0 is unknown. */
export type ServingMachine = readonly [dataCentre: string, capacity: number];

/** The caller that asks for addresses. */
export type AddressQuestion = Readonly<{
	/** Address of the caller; the same one gets the same entries. */
	caller: string;
	/** Names of the caller's place; the first one that is a data centre of an entry counts. */
	places: readonly string[];
}>;

type WeightedEntry = Readonly<{
	address: string;
	dataCentre: string | undefined;
	weight: number;
	hash: number;
}>;

/** What is the same for all callers while the entries are the same. */
export type SelectionPlan = Readonly<{
	/** Whether callers get different entries; otherwise all get the first ones of the list. */
	isSelective: boolean;
	/** The entries as they were listed. */
	listed: readonly ServingEntry[];
	/** Each address once, in the order of addresses, so that sums are the same everywhere. */
	entries: readonly WeightedEntry[];
	totalWeight: number;
	largestWeight: number;
	weightByDataCentre: ReadonlyMap<string, number>;
}>;

/**
 * Callers use at most this many addresses of an answer. Selective answers have as
 * many, unless the largest entry would have to be in more than all of them: long
 * answers spread few callers best. With 100 callers of 195 equal entries, the standard
 * deviation of the answers that an entry is in is 14% of their mean.
 */
const MAX_USED_ADDRESSES = 64;
/** Addresses of a selective answer from few entries: one can fail while another one leaves. */
const MIN_SELECTED_ADDRESSES = 3;
/** Machines count as alike up to this ratio of capacities, the deviation that is allowed for callers. */
const ALIKE_RATIO = 1.2;
/**
 * Part of a caller's choice that is reserved for its own data centre; the rest is
 * spread over all entries. Demand that shifts by 0.55 of its mean thus moves 0.11
 * of the callers off the proportion to capacity, about half of the allowed fifth.
 */
const NEAR_PART = 0.2;
/** Highest preference of a near entry, so that callers of a small data centre don't overload it. */
const MAX_NEAR_FACTOR = 1.5;
/** Capacities outside of this range, in cores, count as unknown. */
const CAPACITY_RANGE = [0.001, 4096] as const;
/**
 * A link below this rate for each core limits an entry more than its processor, in
 * Mbit/s per core. Half of the 21.6 of deployments whose links suffice.
 */
const MIN_MBPS_PER_CORE = 10.8;
/** Digits of a capacity in reports: a thousandth of a core. */
const CAPACITY_SCALE = 1000;
/** Shares of one and above would give a score without a value. */
const MAX_SHARE = 1 - 1e-9;
const UINT32_RANGE = 4_294_967_296;

/* eslint-disable no-bitwise -- hashing */

/** Mixes the bits of a number so that each affects all others (finalizer of MurmurHash3). */
function mix(value: number): number {
	let mixed = value;
	mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85_eb_ca_6b);
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2_b2_ae_35);
	return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** Hashes a text (FNV-1a over UTF-16 units, mixed). */
function hashText(text: string): number {
	let hash = 0x81_1c_9d_c5;
	for (let i = 0; i < text.length; i += 1) {
		// eslint-disable-next-line unicorn/prefer-code-point -- a unit is enough
		hash = Math.imul(hash ^ text.charCodeAt(i), 0x01_00_01_93);
	}

	return mix(hash);
}

/** Draws the number in (0, 1) that a caller has for an entry. */
function draw(callerHash: number, entryHash: number): number {
	const mixed = mix(
		mix(callerHash ^ entryHash) + Math.imul(callerHash, 0x9e_37_79_b1),
	);
	return (mixed + 0.5) / UINT32_RANGE;
}

/* eslint-enable no-bitwise */

function isKnownCapacity(capacity: number | undefined): capacity is number {
	const [min, max] = CAPACITY_RANGE;
	return capacity !== undefined && capacity >= min && capacity <= max;
}

/** Computes the capacity of an entry, in cores; a scarce link counts as fewer of them. */
export function computeCapacity(
	cores: number,
	linkMbps = Number.POSITIVE_INFINITY,
): number {
	const capacity = Math.min(cores, linkMbps / MIN_MBPS_PER_CORE);
	return Math.round(capacity * CAPACITY_SCALE) / CAPACITY_SCALE;
}

function listKnownCapacities(
	entries: readonly ServingEntry[],
): readonly number[] {
	return entries
		.map(({capacity}) => capacity)
		.filter((capacity) => isKnownCapacity(capacity))
		.toSorted((a, b) => a - b);
}

/** Whether callers get different entries: not all fit into an answer, or they differ clearly. */
export function isSelective(entries: readonly ServingEntry[]): boolean {
	const known = listKnownCapacities(entries);
	return (
		entries.length > MAX_USED_ADDRESSES ||
		(known.length > 0 && known.at(-1)! > known[0]! * ALIKE_RATIO)
	);
}

/** Whether two lists name the same entries in the same order, with the same machines. */
export function isSameServing(
	some: readonly ServingEntry[],
	others: readonly ServingEntry[],
): boolean {
	return (
		some.length === others.length &&
		some.every(({address, dataCentre, capacity}, i) => {
			const other = others[i]!;
			return (
				address === other.address &&
				dataCentre === other.dataCentre &&
				capacity === other.capacity
			);
		})
	);
}

/** Describes the machines of entries for a report, in the order of the entries. */
export function describeMachines(
	entries: readonly ServingEntry[],
): readonly ServingMachine[] {
	return entries.map(({dataCentre = '', capacity = 0}) => [
		dataCentre,
		capacity,
	]);
}

/** Joins addresses with their machines; without one for each address, none is used. */
export function joinMachines(
	addresses: readonly string[],
	machines: readonly ServingMachine[] = [],
): readonly ServingEntry[] {
	if (machines.length !== addresses.length) {
		return addresses.map((address) => ({address}));
	}

	return addresses.map((address, i) => {
		const [dataCentre, capacity] = machines[i]!;
		return {address, dataCentre, ...(capacity > 0 ? {capacity} : {})};
	});
}

/**
 * Prepares the answers to callers. An entry of unknown capacity counts as the
 * median one; if none is known, all are equal.
 */
export function planSelection(listed: readonly ServingEntry[]): SelectionPlan {
	const known = listKnownCapacities(listed);
	const usual = known[Math.floor(known.length / 2)] ?? 1;
	const byAddress = new Map(listed.map((entry) => [entry.address, entry]));
	const entries = [...byAddress.values()]
		.toSorted((a, b) => (a.address < b.address ? -1 : 1))
		.map(({address, dataCentre, capacity}) => ({
			address,
			dataCentre,
			weight: isKnownCapacity(capacity) ? capacity : usual,
			hash: hashText(address),
		}));
	const weightByDataCentre = new Map<string, number>();
	let totalWeight = 0;
	let largestWeight = 0;
	for (const {dataCentre, weight} of entries) {
		totalWeight += weight;
		largestWeight = Math.max(largestWeight, weight);
		if (dataCentre !== undefined) {
			const sum = weightByDataCentre.get(dataCentre) ?? 0;
			weightByDataCentre.set(dataCentre, sum + weight);
		}
	}

	return {
		isSelective: isSelective(listed),
		listed,
		entries,
		totalWeight,
		largestWeight,
		weightByDataCentre,
	};
}

/** Factors of the weights of near and of other entries; the total weight stays. */
function computeFactors(
	{totalWeight, weightByDataCentre}: SelectionPlan,
	near: string | undefined,
): Readonly<{near: number; far: number}> {
	const nearWeight = near === undefined ? 0 : weightByDataCentre.get(near)!;
	if (nearWeight === 0 || nearWeight === totalWeight) {
		return {near: 1, far: 1};
	}

	const ratio = totalWeight / nearWeight;
	const part = Math.min(NEAR_PART, (MAX_NEAR_FACTOR - 1) / (ratio - 1));
	return {near: 1 - part + part * ratio, far: 1 - part};
}

/** Number of addresses of an answer: as many as keep the share of the largest entry below one. */
export function countSelected(plan: SelectionPlan, nearFactor = 1): number {
	if (!plan.isSelective) {
		return Math.min(plan.listed.length, MAX_USED_ADDRESSES);
	}

	const proportional = Math.floor(
		plan.totalWeight / (plan.largestWeight * nearFactor),
	);
	return Math.min(
		plan.entries.length,
		MAX_USED_ADDRESSES,
		Math.max(MIN_SELECTED_ADDRESSES, proportional),
	);
}

/**
 * Selects the addresses for a caller. Each entry gets a number from the hash of
 * both addresses, and the smallest ones are taken after scaling by the share of
 * answers that the entry is to be in (Pareto order sampling, Rosén 1997): answers
 * have a fixed size, shares are proportional to weights, and a change of one entry
 * changes about one address of the answers that it is in. If there are several
 * data centres, an answer never has addresses of one only.
 */
export function selectAddresses(
	plan: SelectionPlan,
	{caller, places}: AddressQuestion,
): readonly string[] {
	if (!plan.isSelective) {
		return plan.listed.slice(0, MAX_USED_ADDRESSES).map(({address}) => address);
	}

	const near = places.find((place) => plan.weightByDataCentre.has(place));
	const factors = computeFactors(plan, near);
	const count = countSelected(plan, factors.near);
	const callerHash = hashText(caller);
	const ranked = plan.entries
		.map((entry) => {
			const isNear = near !== undefined && entry.dataCentre === near;
			const weight = entry.weight * (isNear ? factors.near : factors.far);
			const share = Math.min(MAX_SHARE, (count * weight) / plan.totalWeight);
			const drawn = draw(callerHash, entry.hash);
			const score = (drawn * (1 - share)) / ((1 - drawn) * share);
			return {entry, isNear, score};
		})
		.toSorted((a, b) => a.score - b.score);
	const selected = ranked.slice(0, count);
	const {dataCentre} = selected[0]!.entry;
	if (selected.every(({entry}) => entry.dataCentre === dataCentre)) {
		const other = ranked.find(({entry}) => entry.dataCentre !== dataCentre);
		if (other !== undefined) {
			selected.splice(-1, 1, other);
		}
	}

	return [
		...selected.filter(({isNear}) => isNear),
		...selected.filter(({isNear}) => !isNear),
	].map(({entry}) => entry.address);
}
