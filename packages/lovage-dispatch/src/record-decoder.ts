import {isSocketAddress} from './backend-address.js';
import type {AgedRecord} from './report.js';

/** A record as another instance or a backend server sent it. */
export type DecodedRecord =
	| Readonly<{kind: 'sound'; record: AgedRecord}>
	| Readonly<{kind: 'refused'; id: string; reason: string}>;

type Json = Readonly<Record<string, unknown>>;
type FieldRule = Readonly<{
	field: keyof AgedRecord;
	isSound: (value: unknown) => boolean;
	rule: string;
}>;

const MAX_NAME_LENGTH = 256;
const MAX_VERSION_LENGTH = 128;
const MAX_SLOTS = 65_536;
const MAX_LOGGED_LENGTH = 40;
/** Header values lose spaces at the ends. */
const HEADER_TEXT_PATTERN = /^[!-~](?:[ -~]*[!-~])?$/;

function isText(value: unknown, maxLength: number): value is string {
	return typeof value === 'string' && value.length <= maxLength;
}

function isName(value: unknown): boolean {
	return isText(value, MAX_NAME_LENGTH) && value !== '';
}

/** Whether a value can be a header as it is: printable ASCII, not too long. */
export function isHeaderId(value: unknown): value is string {
	return isText(value, MAX_NAME_LENGTH) && HEADER_TEXT_PATTERN.test(value);
}

/** Whether a value counts something exactly: fractions and 1e300 don't. */
export function isCount(value: unknown): value is number {
	return Number.isSafeInteger(value) && (value as number) >= 0;
}

const RULES: readonly FieldRule[] = [
	{
		field: 'id',
		isSound: isHeaderId,
		rule: `must be printable ASCII of at most ${MAX_NAME_LENGTH} characters`,
	},
	{field: 'service', isSound: isName, rule: 'must be a name'},
	{field: 'dataCentre', isSound: isName, rule: 'must be a name'},
	{
		field: 'address',
		isSound: isSocketAddress,
		rule: 'must be an IPv4 address and a port',
	},
	{
		field: 'state',
		isSound: (value) =>
			value === 'ready' || value === 'draining' || value === 'gone',
		rule: 'must be ready, draining or gone',
	},
	{
		field: 'softwareVersion',
		isSound: (value) =>
			value === undefined || isText(value, MAX_VERSION_LENGTH),
		rule: `must be a text of at most ${MAX_VERSION_LENGTH} characters`,
	},
	{
		field: 'slots',
		isSound: (value) => isCount(value) && value <= MAX_SLOTS,
		rule: `must be a whole number up to ${MAX_SLOTS}`,
	},
	{field: 'bornAt', isSound: isCount, rule: 'must be a whole number'},
	{field: 'sequence', isSound: isCount, rule: 'must be a whole number'},
	{field: 'ageMs', isSound: Number.isFinite, rule: 'must be a number'},
];

function isObject(value: unknown): value is Json {
	return typeof value === 'object' && value !== null;
}

/** Decodes a record, so that no field holds what a later call refuses. */
export function decodeRecord(value: unknown): DecodedRecord {
	if (!isObject(value)) {
		return {kind: 'refused', id: '', reason: 'a record must be an object'};
	}

	const broken = RULES.find(({field, isSound}) => !isSound(value[field]));
	return broken === undefined
		? {kind: 'sound', record: value as AgedRecord}
		: {
				kind: 'refused',
				id: String(
					typeof value.id === 'string' ? value.id : typeof value.id,
				).slice(0, MAX_LOGGED_LENGTH),
				reason: `${broken.field} ${broken.rule}`,
			};
}
