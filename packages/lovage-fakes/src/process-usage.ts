import {readFileSync} from 'node:fs';

/** Clock ticks a second in /proc on Linux. */
const TICKS_PER_SECOND = 100;
const KB = 1024;
const MS_PER_SECOND = 1000;

/** Processor time that a process has used, in milliseconds. */
export function readCpuMs(pid: number): number {
	const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	const ticks = Number(fields[11]) + Number(fields[12]);
	return (ticks * MS_PER_SECOND) / TICKS_PER_SECOND;
}

/** Resident size of a process in bytes. */
export function readResidentBytes(pid: number): number {
	const status = readFileSync(`/proc/${pid}/status`, 'utf8');
	return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) * KB;
}

/** Returns the value below which the share `p` of the values lie. */
export function getPercentile(values: readonly number[], p: number): number {
	const sorted = values.toSorted((a, b) => a - b);
	const index = Math.min(sorted.length - 1, Math.floor(p * sorted.length));
	return sorted[index] ?? 0;
}
