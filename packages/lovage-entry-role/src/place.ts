import type {Configuration} from '@lovagevalve/inventory';
import {listUsable, type Backend, type View} from './view.js';

/** What placement needs to know of a piece of work. */
export type PlacementRequest = Readonly<{
	service: string;
	model?: string;
	prefixes: readonly string[];
	excluded: readonly string[];
	dataCentre: string;
	isSuspect: boolean;
}>;

/** Chooses a backend server with room, or none. */
export function choosePlace(
	view: View,
	configuration: Configuration,
	request: PlacementRequest,
	moment: Readonly<{now: number; random: number}>,
): Backend | undefined {
	const usable = listUsable(
		view,
		configuration.inventory,
		request.service,
		moment.now,
	).filter(
		({announcement, inFlight}) =>
			!request.excluded.includes(announcement.id) &&
			inFlight < announcement.capacity &&
			(request.model === undefined ||
				announcement.models.some(({id}) => id === request.model)),
	);
	return usable[Math.floor(moment.random * usable.length)];
}
