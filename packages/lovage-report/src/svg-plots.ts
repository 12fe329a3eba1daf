import {formatLatency, formatShare} from './format.js';
import {escapeHtml} from './html.js';
import {listLatencies, type LatencyCounts} from './latency-counts.js';

const WIDTH = 460;
const BAR_HEIGHT = 18;
const BAR_GAP = 8;
const LABEL_WIDTH = 150;
const VALUE_WIDTH = 90;
const PLOT_HEIGHT = 180;
const MARGIN = 36;
const MIN_LATENCY_MS = 10;
const DECADE = 10;

/** One bar of a bar plot. */
export type Bar = Readonly<{
	label: string;
	value: number;
	/** The formatted value. */
	text: string;
	/** Whether the value exceeds its limit. */
	isBad: boolean;
}>;

function formatCoordinate(value: number): string {
	return value.toFixed(1);
}

function renderSvg(height: number, title: string, content: string): string {
	return `<svg viewBox="0 0 ${WIDTH} ${height}" width="${WIDTH}" height="${height}" role="img" aria-label="${escapeHtml(title)}"><title>${escapeHtml(title)}</title>${content}</svg>`;
}

function renderBar(bar: Bar, index: number, scale: number): string {
	const y = index * (BAR_HEIGHT + BAR_GAP);
	const width = Math.max(1, bar.value * scale);
	const textY = y + BAR_HEIGHT - 5;
	return [
		`<text x="${LABEL_WIDTH - 6}" y="${textY}" class="label">${escapeHtml(bar.label)}</text>`,
		`<rect x="${LABEL_WIDTH}" y="${y}" width="${formatCoordinate(width)}" height="${BAR_HEIGHT}" class="${bar.isBad ? 'bad' : 'good'}"/>`,
		`<text x="${formatCoordinate(LABEL_WIDTH + width + 6)}" y="${textY}" class="value">${escapeHtml(bar.text)}</text>`,
	].join('');
}

/** Renders a horizontal bar plot with a line at `limit`. */
export function renderBars(
	title: string,
	bars: readonly Bar[],
	limit: number,
): string {
	const height = bars.length * (BAR_HEIGHT + BAR_GAP);
	const longest = Math.max(limit * 1.25, ...bars.map(({value}) => value));
	const scale =
		longest === 0 ? 0 : (WIDTH - LABEL_WIDTH - VALUE_WIDTH) / longest;
	const x = formatCoordinate(LABEL_WIDTH + limit * scale);
	const line = `<line x1="${x}" y1="0" x2="${x}" y2="${height}" class="limit"/>`;
	const drawn = bars.map((bar, i) => renderBar(bar, i, scale)).join('');
	return renderSvg(height, title, drawn + line);
}

type Point = Readonly<{ms: number; share: number}>;

function computeCumulativeShares(counts: LatencyCounts): readonly Point[] {
	const sorted = listLatencies(counts);
	const total = sorted.reduce((sum, [, count]) => sum + count, 0);
	let cumulativeCount = 0;
	return sorted.map(([ms, count]) => {
		cumulativeCount += count;
		return {ms: Math.max(ms, MIN_LATENCY_MS), share: cumulativeCount / total};
	});
}

function createAxes(longestMs: number) {
	const decades = Math.ceil(Math.log10(longestMs / MIN_LATENCY_MS));
	const width = WIDTH - 2 * MARGIN;
	const getX = (ms: number) =>
		MARGIN + (width * Math.log10(ms / MIN_LATENCY_MS)) / decades;
	const getY = (share: number) => MARGIN / 2 + (1 - share) * PLOT_HEIGHT;
	const ticks = Array.from(
		{length: decades + 1},
		(_, i) => MIN_LATENCY_MS * DECADE ** i,
	);
	return {getX, getY, ticks};
}

type Axes = ReturnType<typeof createAxes>;

function renderAxes({getX, getY, ticks}: Axes): string {
	const vertical = ticks.map(
		(ms) =>
			`<line x1="${formatCoordinate(getX(ms))}" y1="${getY(1)}" x2="${formatCoordinate(getX(ms))}" y2="${getY(0)}" class="grid"/><text x="${formatCoordinate(getX(ms))}" y="${getY(0) + 16}" class="tick">${formatLatency(ms)}</text>`,
	);
	const horizontal = [0, 0.5, 1].map(
		(share) =>
			`<line x1="${MARGIN}" y1="${getY(share)}" x2="${WIDTH - MARGIN}" y2="${getY(share)}" class="grid"/><text x="${MARGIN - 4}" y="${getY(share) + 4}" class="label">${share * 100}%</text>`,
	);
	return [...vertical, ...horizontal].join('');
}

function renderStepCurve(points: readonly Point[], {getX, getY}: Axes): string {
	const path = points
		.map(
			({ms, share}) =>
				`H${formatCoordinate(getX(ms))}V${formatCoordinate(getY(share))}`,
		)
		.join('');
	return `<path d="M${MARGIN} ${formatCoordinate(getY(0))}${path}" class="curve"/>`;
}

/** Renders the cumulative distribution of latencies on a logarithmic axis, with a line at the limit. */
export function renderDistribution(
	title: string,
	counts: LatencyCounts,
	limitMs: number,
): string {
	const points = computeCumulativeShares(counts);
	if (points.length === 0) {
		return `<p class="none">${escapeHtml(title)}: none</p>`;
	}

	const longest = Math.max(points.at(-1)!.ms, limitMs, MIN_LATENCY_MS * DECADE);
	const axes = createAxes(longest);
	const x = formatCoordinate(axes.getX(Math.max(limitMs, MIN_LATENCY_MS)));
	const limit = `<line x1="${x}" y1="${axes.getY(1)}" x2="${x}" y2="${axes.getY(0)}" class="limit"/>`;
	return renderSvg(
		PLOT_HEIGHT + 2 * MARGIN,
		title,
		renderAxes(axes) + renderStepCurve(points, axes) + limit,
	);
}

/** Renders shares of the work as bars, with a line at the allowed share. */
export function renderShares(
	title: string,
	parts: ReadonlyArray<Readonly<{label: string; share: number}>>,
	allowed: number,
): string {
	const bars = parts.map(({label, share}) => ({
		label,
		value: share,
		text: formatShare(share),
		isBad: share > allowed,
	}));
	return renderBars(title, bars, allowed);
}
