import {SHARE_STEPS, type ServiceRollout} from './state.js';

/** Part of a request that is due to the new version, by service and version. */
export type ShareCredits = ReadonlyMap<string, number>;

/** Versions that may get a request, the preferred one first. */
export type VersionDraw = Readonly<{
	versions: readonly string[];
	credits: ShareCredits;
}>;

/** Share of a service's requests that the version of the newest order gets. */
export function readShare({order}: ServiceRollout): number {
	switch (order?.stage) {
		case undefined:
		case 'reverted': {
			return 0;
		}

		case 'running': {
			return SHARE_STEPS[order.step]!;
		}

		case 'succeeded': {
			return 1;
		}
	}
}

/** Whether a version of a service may get requests; without decisions each may. */
export function isVersionAllowed(
	rollout: ServiceRollout | undefined,
	version: string,
): boolean {
	return rollout?.allowed.includes(version) ?? true;
}

/**
 * Draws the version of a request. Each entry gives the new version the same part of
 * its own requests, from an accumulated credit, so that all together keep the share
 * without asking each other. While an order is running, its version gets nothing
 * beyond its share, also when no server of the others takes a request.
 */
export function drawVersion(
	service: string,
	rollout: ServiceRollout,
	credits: ShareCredits,
	initialCredit: number,
): VersionDraw {
	const {order, allowed, current} = rollout;
	const others = allowed
		.filter((version) => version !== order?.to && version !== current)
		.toReversed();
	const rest = [
		...(current === undefined || current === order?.to ? [] : [current]),
		...others,
	];
	if (rest.length === 0 && current === order?.to && current !== undefined) {
		return {versions: [current], credits};
	}

	if (order === undefined || order.stage === 'reverted') {
		return {
			versions: current === undefined ? rest : [...new Set([current, ...rest])],
			credits,
		};
	}

	if (order.stage === 'succeeded') {
		return {versions: [order.to, ...rest], credits};
	}

	const key = JSON.stringify([service, order.to]);
	const credit = (credits.get(key) ?? initialCredit) + readShare(rollout);
	const isDue = credit >= 1;
	return {
		versions: isDue ? [order.to, ...rest] : rest,
		credits: new Map(credits).set(key, isDue ? credit - 1 : credit),
	};
}
