import {appendFileSync, existsSync, readFileSync} from 'node:fs';

/** What a fake backend server writes about its work, one JSON line each. */
export type RunRecord =
	| {
			kind: 'started';
			generation: string;
			attempt: number;
			prompt: string;
			prefixLength: number;
	  }
	/** `produced` counts the tokens of this run, without its prefix. */
	| {kind: 'progress'; generation: string; attempt: number; produced: number}
	| {
			kind: 'ended';
			generation: string;
			attempt: number;
			produced: number;
			cancelled: boolean;
	  }
	| {kind: 'called'; requestId: string; customer: string; operation: string}
	| {kind: 'ordered'; order: string; fencing: number; obeyed: boolean}
	| {kind: 'leaving'};

/** A record with who wrote it and when, in wall-clock milliseconds. */
export type TimedRunRecord = RunRecord &
	Readonly<{backend: string; at: number}>;

/** Appends one record. */
export type RecordWriter = (record: RunRecord) => void;

/** Creates a writer to a file; without a file the records are dropped. */
export function createRecordWriter(
	backend: string,
	file: string | undefined,
): RecordWriter {
	return (record) => {
		if (file !== undefined) {
			// A record must be out before the process may be killed.
			appendFileSync(
				file,
				`${JSON.stringify({...record, backend, at: Date.now()})}\n`,
			);
		}
	};
}

/** Reads the whole lines of a record file; a missing file is empty. */
export function readRecords(file: string): readonly TimedRunRecord[] {
	if (!existsSync(file)) {
		return [];
	}

	return readFileSync(file, 'utf8')
		.split('\n')
		.slice(0, -1)
		.map((line) => JSON.parse(line) as TimedRunRecord);
}
