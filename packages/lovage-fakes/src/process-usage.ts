import {readFileSync} from 'node:fs';

/** Clock ticks per second (USER_HZ) in /proc on Linux. */
const TICKS_PER_SECOND = 100;
const KB = 1024;
const MS_PER_SECOND = 1000;

/** Returns the CPU time of a process, user and system, in milliseconds. */
export function readCpuMs(pid: number): number {
	const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	const ticks = Number(fields[11]) + Number(fields[12]);
	return (ticks * MS_PER_SECOND) / TICKS_PER_SECOND;
}

/** Returns the resident set size of a process in bytes. */
export function readResidentBytes(pid: number): number {
	const status = readFileSync(`/proc/${pid}/status`, 'utf8');
	return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) * KB;
}

/** Returns the percentile of the values at the fraction `p`, from 0 to 1. */
export function getPercentile(values: readonly number[], p: number): number {
	const sorted = values.toSorted((a, b) => a - b);
	const index = Math.min(sorted.length - 1, Math.floor(p * sorted.length));
	return sorted[index] ?? 0;
}
