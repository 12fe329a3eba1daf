const MS_PER_SECOND = 1000;

/** Formats a share as a percentage. */
export function formatShare(share: number): string {
	return `${(share * 100).toFixed(2)} %`;
}

/** Formats a burn rate. */
export function formatBurn(burn: number): string {
	return `${burn.toFixed(2)}x`;
}

/** Formats a latency in milliseconds or, from one second, in seconds. */
export function formatLatency(ms: number): string {
	return ms < MS_PER_SECOND
		? `${Math.round(ms)} ms`
		: `${(ms / MS_PER_SECOND).toFixed(2)} s`;
}

/** Formats a wall-clock time in UTC. */
export function formatTime(ms: number): string {
	return new Date(ms).toISOString();
}
