export type {
	BurnReport,
	ExtraUse,
	LevelReport,
	ServiceReport,
	WindowBurn,
} from './burn.js';
export {computeBurn, MAX_BURN_RATE} from './burn.js';
export type {
	ExtraCause,
	RequestOutcome,
	ResumeCause,
	ServiceLevelEvent,
} from './events.js';
export type {LatencyCounts, LatencySummary} from './latency-counts.js';
export {renderHtml} from './render-html.js';
export {renderText} from './render-text.js';
export type {ServiceLevelState} from './service-level.js';
export {
	createServiceLevel,
	OTHER_CUSTOMERS,
	stepServiceLevel,
} from './service-level.js';
export type {ServiceLevelSnapshot} from './snapshot.js';
export {mergeSnapshots, snapshotSchema, takeSnapshot} from './snapshot.js';
export type {WindowName} from './windows.js';
export {WINDOW_NAMES} from './windows.js';
