import type {Summary} from './summary.js';

const COLUMNS = [
	['deployment', 12],
	['fault', 16],
	['variant', 17],
	['moved', 8],
	['median', 7],
	['p95', 7],
	['p99', 7],
	['max', 7],
	['in place', 9],
	['ip med', 7],
	['ip p99', 7],
	['extra %', 8],
	['prefill %', 10],
	['decode %', 9],
	['false %', 8],
	['unneeded %', 11],
	['first p95', 10],
	['misses', 7],
	['refused', 8],
	['not whole', 9],
] as const;

function formatPercent(share: number): string {
	return (share * 100).toFixed(2);
}

function sumCounts(counts: Readonly<Record<string, number>>): number {
	return Object.values(counts).reduce((sum, count) => sum + count, 0);
}

function listCells(summary: Summary): readonly string[] {
	const {resumeMs} = summary;
	return [
		summary.deployment,
		summary.fault,
		summary.variant,
		`${summary.resumes}`,
		`${resumeMs.median}`,
		`${resumeMs.p95}`,
		`${resumeMs.p99}`,
		`${resumeMs.max}`,
		`${summary.inPlace}`,
		`${summary.inPlaceMs.median}`,
		`${summary.inPlaceMs.p99}`,
		formatPercent(summary.extraShare),
		formatPercent(summary.prefillShare),
		formatPercent(summary.decodeShare),
		formatPercent(summary.falseShare),
		formatPercent(summary.unneededAttempts),
		`${summary.firstTokenMs.p95}`,
		`${sumCounts(summary.deadlineMisses)}`,
		`${sumCounts(summary.refused)}`,
		`${summary.notWhole}`,
	];
}

function formatRow(cells: readonly string[]): string {
	return cells
		.map((cell, i) => {
			const width = COLUMNS[i]![1];
			return i < 3 ? cell.padEnd(width) : cell.padStart(width);
		})
		.join(' ');
}

/** Formats the summaries as a text table, with times in milliseconds. */
export function formatTable(summaries: readonly Summary[]): string {
	const header = formatRow(COLUMNS.map(([name]) => name));
	const rows = summaries.map((summary) => formatRow(listCells(summary)));
	return [header, ...rows].join('\n');
}

/** Formats the details of the runs with a killer request or a batch. */
export function formatDetails(summaries: readonly Summary[]): string {
	const killerLines = summaries
		.filter(({fault}) => fault === 'killer')
		.map(
			(summary) =>
				`killer ${summary.deployment} ${summary.variant}: convicted in ${summary.killersConvicted} of ${summary.runs} runs, at most 3 engines lost in ${summary.killersWithinTarget}, at most ${summary.enginesLostToKiller} in any, ${summary.innocentsConvicted} innocents convicted`,
		);
	const batchLines = summaries
		.filter(({fault}) => fault === 'batch')
		.map(
			(summary) =>
				`batch ${summary.deployment} ${summary.variant}: deadline misses by customer ${JSON.stringify(summary.deadlineMisses)}, refused ${JSON.stringify(summary.refused)}`,
		);
	return [...killerLines, ...batchLines].join('\n');
}
