import type {BurnReport, LevelReport, ServiceReport} from './burn.js';
import {RESUME_CAUSES} from './events.js';
import {formatBurn, formatLatency, formatShare, formatTime} from './format.js';
import {escapeHtml, renderTable} from './html.js';
import type {LatencySummary} from './latency-counts.js';
import {
	renderBars,
	renderDistribution,
	renderShares,
	type Bar,
} from './svg-plots.js';

const STYLE = `
body{font:15px/1.5 system-ui,sans-serif;max-width:62rem;margin:2rem auto;padding:0 1rem;color:#1d2733;background:#fff}
h1{font-size:1.5rem}h2{font-size:1.2rem;margin-top:2.5rem;border-top:1px solid #ccd3da;padding-top:1rem}h3{font-size:1rem;margin:1rem 0 .4rem}
.plots{display:flex;flex-wrap:wrap;gap:1rem 2rem}.plots>div{flex:0 1 29rem}svg{max-width:100%;height:auto}
svg text{font:12px system-ui,sans-serif;fill:#1d2733}.label{text-anchor:end}.tick{text-anchor:middle}
.good{fill:#2f7d6d}.bad{fill:#b3402e}.limit{stroke:#1d2733;stroke-dasharray:4 3}.grid{stroke:#dde3e8}.curve{fill:none;stroke:#2f6fb0;stroke-width:2}
table{border-collapse:collapse;width:100%}th,td{text-align:right;padding:.25rem .6rem;border-bottom:1px solid #dde3e8}th:first-child,td:first-child{text-align:left}
.note,.none{color:#55616d}.table{overflow-x:auto}
`;

function formatLatencyCells(summary: LatencySummary | undefined): string[] {
	return summary === undefined
		? ['0', '', '', '', '']
		: [
				String(summary.count),
				...[summary.p50, summary.p95, summary.p99, summary.max].map(
					formatLatency,
				),
			];
}

function renderBurnPlot(level: LevelReport): string {
	const bars = level.windows.map(({window, burn}): Bar => ({
		label: window,
		value: burn,
		text: formatBurn(burn),
		isBad: burn > 1,
	}));
	return renderBars('Burn rate by window', bars, 1);
}

function renderPlots({all, objective}: ServiceReport): string {
	const allowed = objective.extraUseShare;
	const parts = [
		...all.extra.map(({cause, share}) => ({label: cause, share})),
		{label: 'total', share: all.extraShare},
	];
	const plots = [
		['Burn rate by window', renderBurnPlot(all)],
		[
			'Extra use as a share of the work',
			renderShares('Extra use as a share of the work', parts, allowed),
		],
		[
			'Share of resumes within a time',
			renderDistribution(
				'Share of resumes within a time',
				all.resumeMs,
				objective.resumeWithinMs,
			),
		],
	];
	return plots
		.map(([title, plot]) => `<div><h3>${title!}</h3>${plot!}</div>`)
		.join('');
}

function renderLatencyTable({all}: ServiceReport): string {
	return renderTable(
		['', 'count', 'p50', 'p95', 'p99', 'longest'],
		[
			['Resume', ...formatLatencyCells(all.resume)],
			['First token', ...formatLatencyCells(all.firstToken)],
		],
	);
}

function formatCustomerCells(customer: string, level: LevelReport): string[] {
	return [
		customer,
		...level.windows.map(({burn}) => formatBurn(burn)),
		formatShare(level.budgetLeft),
		...[level.finished, level.failed, level.refused, level.rejected].map(
			String,
		),
		level.resume === undefined ? '' : formatLatency(level.resume.p99),
		formatShare(level.extraShare),
	];
}

function renderCustomerTable(service: ServiceReport): string {
	return renderTable(
		[
			'Customer',
			...service.all.windows.map(({window}) => `burn ${window}`),
			'budget left',
			'finished',
			'failed',
			'refused',
			'rejected',
			'resume p99',
			'extra use',
		],
		[
			...service.customers.map(({customer, level}) =>
				formatCustomerCells(customer, level),
			),
			formatCustomerCells('all', service.all),
		],
	);
}

function describeObjective({all, objective}: ServiceReport): string {
	const causes = RESUME_CAUSES.map(
		(cause) => `${all.resumes[cause]} ${cause}`,
	).join(', ');
	return `Weighs ${objective.weighs}: ${formatShare(objective.target)} good, resume within ${formatLatency(objective.resumeWithinMs)}, first token within ${formatLatency(objective.firstTokenWithinMs)}, extra use within ${formatShare(objective.extraUseShare)}. Budget left: ${formatShare(all.budgetLeft)}. Resumes by cause: ${causes}; late: ${all.lateResumes}. Extra use: ${all.extraAmount} in addition to ${all.work} of regular work.`;
}

function renderService(service: ServiceReport): string {
	return `<section><h2>${escapeHtml(service.service)}</h2><p>${escapeHtml(describeObjective(service))}</p><div class="plots">${renderPlots(service)}</div><h3>Waits</h3>${renderLatencyTable(service)}<h3>Customers</h3><div class="table">${renderCustomerTable(service)}</div></section>`;
}

/** Renders the report as a self-contained HTML page without external resources. */
export function renderHtml(report: BurnReport, title: string): string {
	const name = escapeHtml(title);
	const services = report.services.map(renderService).join('');
	return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width,initial-scale=1"><title>${name}: service-level burn</title><style>${STYLE}</style></head>
<body><h1>${name}: service-level burn</h1><p class="note">At ${formatTime(report.now)}. Budget, waits and extra use over ${report.budgetWindow}. A burn rate above 1x exhausts the budget before its window ends; dashed lines mark the limits.</p>${services === '' ? '<p>No requests yet.</p>' : services}</body></html>
`;
}
