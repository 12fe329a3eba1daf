import {crc32} from 'node:zlib';

/** Start of every record: "LVR1" in ASCII. */
const MAGIC = 0x4c_56_52_31;
const HEADER_BYTES = 16;
const CHECKSUMMED_HEADER_BYTES = 12;
const LENGTH_OFFSET = 4;
const PAYLOAD_CHECKSUM_OFFSET = 8;
const HEADER_CHECKSUM_OFFSET = 12;

/** Records decoded from a file. */
export type DecodedRecords = Readonly<{
	payloads: readonly string[];
	/** Total length of the valid records at the start of the file. */
	validBytes: number;
	/**
	 * `torn`: the last write is incomplete. `damaged`: a record that had been
	 * written completely is corrupt.
	 */
	state: 'whole' | 'torn' | 'damaged';
}>;

function createView(bytes: Uint8Array): DataView {
	return new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

function computeHeaderChecksum(header: Uint8Array): number {
	return crc32(header.subarray(0, CHECKSUMMED_HEADER_BYTES));
}

/** Encodes a payload with a header of magic number, length and checksums. */
export function encodeRecord(payload: string): Uint8Array {
	const body = new TextEncoder().encode(payload);
	const record = new Uint8Array(HEADER_BYTES + body.length);
	const view = createView(record);
	view.setUint32(0, MAGIC);
	view.setUint32(LENGTH_OFFSET, body.length);
	view.setUint32(PAYLOAD_CHECKSUM_OFFSET, crc32(body));
	view.setUint32(HEADER_CHECKSUM_OFFSET, computeHeaderChecksum(record));
	record.set(body, HEADER_BYTES);
	return record;
}

function isZero(bytes: Uint8Array): boolean {
	return bytes.every((byte) => byte === 0);
}

function isHeaderValid(header: Uint8Array): boolean {
	const view = createView(header);
	return (
		view.getUint32(0) === MAGIC &&
		view.getUint32(HEADER_CHECKSUM_OFFSET) === computeHeaderChecksum(header)
	);
}

type DecodeResult =
	| Readonly<{kind: 'record'; payload: string; bytes: number}>
	| Readonly<{kind: 'torn' | 'damaged'}>;

function decodeRecord(input: Uint8Array): DecodeResult {
	if (input.length < HEADER_BYTES || isZero(input)) {
		return {kind: 'torn'};
	}

	const header = input.subarray(0, HEADER_BYTES);
	if (!isHeaderValid(header)) {
		return {kind: 'damaged'};
	}

	const recordBytes =
		HEADER_BYTES + createView(header).getUint32(LENGTH_OFFSET);
	if (input.length < recordBytes) {
		return {kind: 'torn'};
	}

	const body = input.subarray(HEADER_BYTES, recordBytes);
	if (crc32(body) === createView(header).getUint32(PAYLOAD_CHECKSUM_OFFSET)) {
		return {
			kind: 'record',
			payload: new TextDecoder().decode(body),
			bytes: recordBytes,
		};
	}

	// Payloads are JSON and never end with a zero byte: a zero means that the end never reached the disk.
	const isUnfinished = isZero(input.subarray(recordBytes - 1));
	return {kind: isUnfinished ? 'torn' : 'damaged'};
}

/** Decodes records up to the first invalid one. */
export function decodeRecords(content: Uint8Array): DecodedRecords {
	const payloads: string[] = [];
	let validBytes = 0;
	while (validBytes < content.length) {
		const decoded = decodeRecord(content.subarray(validBytes));
		if (decoded.kind !== 'record') {
			return {payloads, validBytes, state: decoded.kind};
		}

		payloads.push(decoded.payload);
		validBytes += decoded.bytes;
	}

	return {payloads, validBytes, state: 'whole'};
}
