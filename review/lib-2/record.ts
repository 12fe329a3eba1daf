// What was sent, answered and run, with the time of each line.
import {appendFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';

/** Adds a line to the record of a case. */
export type Recorder = (line: string) => void;

/** Creates the record of a case in its folder. */
export function createRecord(folder: string): Recorder {
	const startedAt = performance.now();
	const file = path.join(folder, 'record.txt');
	writeFileSync(file, '');
	return (line) => {
		const seconds = ((performance.now() - startedAt) / 1000).toFixed(3);
		appendFileSync(file, `${seconds.padStart(8)} s  ${line}\n`);
	};
}
