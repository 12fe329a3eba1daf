import {isInInventory, listAddresses} from '@lovagevalve/entry-role';
import {announcementSchema, type AnnouncementResponse} from '@lovagevalve/wire';
import {Hono} from 'hono';
import {bodyLimit} from 'hono/body-limit';
import {readBody} from './caller-app.js';
import {createProblemResponse} from './caller-stream.js';
import type {EntryHost} from './host.js';

const MAX_ANNOUNCEMENT_BYTES = 262_144;

/** Creates the HTTP API that backend servers announce themselves to. */
export function createBackendApp(host: EntryHost): Hono {
	const app = new Hono();
	const limit = bodyLimit({maxSize: MAX_ANNOUNCEMENT_BYTES});

	app.post('/v1/backend-servers', limit, async (ctx) => {
		const announcement = await readBody(ctx, announcementSchema);
		if (announcement.isErr()) {
			return createProblemResponse(announcement.error);
		}

		host.handleAnnouncement(announcement.value, true);
		const state = host.readState();
		const {options, lease} = state;
		const answer: AnnouncementResponse = {
			everyMs: options.announceEveryMs,
			entries: listAddresses(options, lease, false, announcement.value.id),
			known: isInInventory(lease, announcement.value),
		};
		return ctx.json(answer);
	});
	return app;
}
