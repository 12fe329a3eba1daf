import {decodeDecisions} from '@lovagevalve/rollout';
import type {ServingMachine} from './address-selection.js';
import {isSocketAddress} from './backend-address.js';
import {decodeFloods} from './flood-telling.js';
import {isRankSet} from './rank-set.js';
import {isCount} from './record-decoder.js';
import type {
	ClusterOverview,
	CompactLoads,
	ControlReport,
	KnownRevision,
	LimitReport,
	LimitReports,
} from './report.js';
import type {RetryCounts} from './retry-budget.js';
import {decodeSpeeds} from './speed-reports.js';

type Json = Readonly<Record<string, unknown>>;

/** More instances than any deployment has. */
const MAX_ENTRIES = 100_000;

function isObject(value: unknown): value is Json {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isAmount(value: unknown): value is number {
	return Number.isFinite(value) && (value as number) >= 0;
}

function isText(value: unknown): value is string {
	return typeof value === 'string';
}

function isRevision(value: unknown): value is KnownRevision {
	return (
		isObject(value) &&
		Number.isFinite(value.epoch) &&
		Number.isFinite(value.revision)
	);
}

function isLoad(value: unknown): value is CompactLoads[string] {
	return (
		Array.isArray(value) &&
		value.length === 3 &&
		value.every((amount) => Number.isFinite(amount))
	);
}

function isRetryCounts(value: unknown): value is RetryCounts {
	return (
		isObject(value) &&
		isAmount(value.requests) &&
		isAmount(value.retries) &&
		(value.active === undefined || Number.isFinite(value.active)) &&
		(value.recent === undefined || Number.isFinite(value.recent))
	);
}

function isLimitReport(value: unknown): value is LimitReport {
	return (
		isObject(value) &&
		(value.perSecond === undefined || isAmount(value.perSecond)) &&
		isAmount(value.ageMs) &&
		isAmount(value.sent)
	);
}

function keepItems<T>(
	value: unknown,
	isSound: (item: unknown) => item is T,
): readonly T[] {
	return Array.isArray(value) ? value.filter((item) => isSound(item)) : [];
}

function keepFields<T>(
	value: unknown,
	isSound: (field: unknown) => field is T,
): Readonly<Record<string, T>> {
	return isObject(value)
		? Object.fromEntries(
				Object.entries(value).filter((entry): entry is [string, T] =>
					isSound(entry[1]),
				),
			)
		: {};
}

/** Leaves a field out that is absent or of another shape. */
function keepOptional<Key extends string, T>(
	key: Key,
	value: T | undefined,
): Readonly<Partial<Record<Key, T>>> {
	return (value === undefined ? {} : {[key]: value}) as Partial<Record<Key, T>>;
}

function keepLimits(value: unknown): LimitReports | undefined {
	return isObject(value) ? keepFields(value, isLimitReport) : undefined;
}

function keepAddresses(value: unknown): readonly string[] | undefined {
	return Array.isArray(value) ? keepItems(value, isSocketAddress) : undefined;
}

function isServingMachine(value: unknown): value is ServingMachine {
	return (
		Array.isArray(value) &&
		value.length === 2 &&
		isText(value[0]) &&
		isAmount(value[1])
	);
}

/** The items belong to those of another list, so one that can't be read makes all unusable. */
function keepMachines(value: unknown): readonly ServingMachine[] | undefined {
	return Array.isArray(value) && value.every((item) => isServingMachine(item))
		? value
		: undefined;
}

function decodeOverview(value: unknown): ClusterOverview | undefined {
	if (!isObject(value)) {
		return undefined;
	}

	const {serving, servingRevision, loads, retries, limits, brittle} = value;
	return {
		...keepOptional('serving', keepAddresses(serving)),
		...keepOptional('servingMachines', keepMachines(value.servingMachines)),
		...(isRevision(servingRevision) ? {servingRevision} : {}),
		loads: keepFields(loads, isLoad),
		retries: keepFields(retries, isRetryCounts),
		...keepOptional('limits', keepLimits(limits)),
		...keepOptional('brittle', keepLimits(brittle)),
		...keepOptional('floods', decodeFloods(value.floods)),
		...(isObject(value.waiting)
			? {waiting: keepFields(value.waiting, isAmount)}
			: {}),
		...keepOptional('speeds', decodeSpeeds(value.speeds)),
		...(isRankSet(value.waitingRanks)
			? {waitingRanks: value.waitingRanks}
			: {}),
		...keepOptional('relays', keepAddresses(value.relays)),
	};
}

/**
 * Decodes the report of a control instance, perhaps of another build. What is of
 * another shape counts as absent, item by item; undefined if nothing can be used.
 * Records of backend servers are left as they are, for `decodeRecord`.
 */
export function decodeControlReport(value: unknown): ControlReport | undefined {
	if (!isObject(value) || !isCount(value.version) || !isRevision(value.known)) {
		return undefined;
	}

	const {agesMs, agesAboveMs, readyCount, suspects} = value;
	return {
		version: value.version,
		controls: keepItems(value.controls, isSocketAddress),
		entries: isCount(value.entries) ? Math.min(MAX_ENTRIES, value.entries) : 0,
		known: value.known,
		backends: Array.isArray(value.backends)
			? (value.backends as ControlReport['backends'])
			: [],
		...(value.hasMore === true ? {hasMore: true} : {}),
		...(isObject(agesMs) ? {agesMs: keepFields(agesMs, isAmount)} : {}),
		...(isAmount(agesAboveMs) ? {agesAboveMs} : {}),
		...(isCount(readyCount) ? {readyCount} : {}),
		...keepOptional('overview', decodeOverview(value.overview)),
		...(value.judgesRollouts === true ? {judgesRollouts: true} : {}),
		...keepOptional('rollouts', decodeDecisions(value.rollouts)),
		convicted: keepItems(value.convicted, isText),
		...(Array.isArray(suspects) ? {suspects: keepItems(suspects, isText)} : {}),
	};
}
