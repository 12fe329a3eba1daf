import {lookUpLocation} from '@lovagevalve/entry-role';
import type {Clock} from '@lovagevalve/runtime';
import type {EntryPeerHandlers} from '@lovagevalve/wire';
import type {EntryHost} from './host.js';

/** Creates the RPC handlers that other entries call. */
export function createPeerHandlers(
	host: EntryHost,
	clock: Clock,
): EntryPeerHandlers {
	return {
		async relayAnnouncements({announcements}) {
			announcements.forEach((announcement) => {
				host.handleAnnouncement(announcement, false);
			});
			return {kind: 'taken'};
		},
		async registerGeneration(place) {
			host.registerLocation(place);
			return lookUpLocation(host.readState().locations, place, clock.now());
		},
		async forgetGeneration(place) {
			host.update({kind: 'place-forgotten', place});
			return {kind: 'taken'};
		},
		async releaseGeneration({generation}) {
			host.update({kind: 'generation-released', generation});
			return {kind: 'taken'};
		},
	};
}
