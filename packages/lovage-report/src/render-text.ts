import type {BurnReport, LevelReport, ServiceReport} from './burn.js';
import {RESUME_CAUSES} from './events.js';
import {formatBurn, formatLatency, formatShare, formatTime} from './format.js';
import type {LatencySummary} from './latency-counts.js';

function renderLatency(
	name: string,
	summary: LatencySummary | undefined,
): string {
	return summary === undefined
		? `  ${name}: none`
		: `  ${name}: ${summary.count} waits, p50 ${formatLatency(summary.p50)}, p95 ${formatLatency(summary.p95)}, p99 ${formatLatency(summary.p99)}, longest ${formatLatency(summary.max)}`;
}

function renderWindows(level: LevelReport): string {
	return level.windows
		.map(({window, burn}) => `${window} ${formatBurn(burn)}`)
		.join(', ');
}

function renderExtra(level: LevelReport): readonly string[] {
	return [
		`  extra use: ${level.extraAmount} in addition to ${level.work} of regular work (${formatShare(level.extraShare)})`,
		...level.extra.map(
			({cause, amount, share}) =>
				`    ${cause}: ${amount} (${formatShare(share)})`,
		),
	];
}

function renderObjective({objective}: ServiceReport): string {
	const {weighs, target, resumeWithinMs, firstTokenWithinMs, extraUseShare} =
		objective;
	return `  objective: weighs ${weighs}; ${formatShare(target)} good, resume within ${formatLatency(resumeWithinMs)}, first token within ${formatLatency(firstTokenWithinMs)}, extra use within ${formatShare(extraUseShare)}`;
}

function renderService(service: ServiceReport): readonly string[] {
	const {all} = service;
	const causes = RESUME_CAUSES.map(
		(cause) => `${all.resumes[cause]} ${cause}`,
	).join(', ');
	return [
		'',
		service.service,
		renderObjective(service),
		`  burn: ${renderWindows(all)}; budget left ${formatShare(all.budgetLeft)}`,
		`  requests: ${all.finished} finished, ${all.failed} failed, ${all.refused} refused, ${all.rejected} rejected`,
		renderLatency('resume', all.resume),
		`  resumes by cause: ${causes}; ${all.lateResumes} late`,
		renderLatency('first token', all.firstToken),
		...renderExtra(all),
		...service.customers.map(
			({customer, level}) =>
				`  ${customer}: burn ${renderWindows(level)}; budget left ${formatShare(level.budgetLeft)}; ${level.finished} finished, ${level.failed} failed, ${level.refused} refused; extra ${formatShare(level.extraShare)}`,
		),
	];
}

/** Renders the report as lines of plain text. */
export function renderText(
	report: BurnReport,
	title: string,
): readonly string[] {
	return [
		`${title}: service-level burn at ${formatTime(report.now)}`,
		`budget, latencies and extra use over ${report.budgetWindow}`,
		...(report.services.length === 0 ? ['', 'no requests yet'] : []),
		...report.services.flatMap(renderService),
	];
}
