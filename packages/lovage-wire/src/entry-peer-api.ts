import {initTRPC} from '@trpc/server';
import {z} from 'zod';
import {announcementSchema, type Announcement} from './backend-api.js';

const generationLocationSchema = z.strictObject({
	customer: z.string(),
	requestId: z.string(),
	digest: z.string(),
	generation: z.string(),
	attempt: z.number().int(),
	backend: z.string(),
	/** Entry that holds the connection to the caller. */
	entry: z.string(),
});

/**
 * Location of a generation: its backend server and serving entry. Kept in
 * memory at its home entry.
 */
export type GenerationLocation = z.output<typeof generationLocationSchema>;

/** Response of a home entry to a registration. */
export type LocationLookupResponse =
	| {kind: 'found'; place: GenerationLocation}
	| {kind: 'absent'}
	/** The same request id was used with a different body. */
	| {kind: 'conflict'};

/** RPC handlers that an entry provides to other entries. */
export type EntryPeerHandlers = Readonly<{
	relayAnnouncements: (input: {
		announcements: readonly Announcement[];
	}) => Promise<{kind: 'taken'}>;
	/**
	 * Registers a generation unless one is registered for the request; returns
	 * the registered one.
	 */
	registerGeneration: (
		input: GenerationLocation,
	) => Promise<LocationLookupResponse>;
	/** Removes a generation that ended without a complete response. */
	forgetGeneration: (input: GenerationLocation) => Promise<{kind: 'taken'}>;
	/**
	 * Releases a generation whose caller another entry now serves; its attempt is
	 * not cancelled.
	 */
	releaseGeneration: (input: {generation: string}) => Promise<{kind: 'taken'}>;
}>;

const t = initTRPC.create();

/** Creates the router that an entry provides to other entries. */
export function createEntryPeerRouter(handlers: EntryPeerHandlers) {
	return t.router({
		relayAnnouncements: t.procedure
			.input(
				z.strictObject({announcements: z.array(announcementSchema).max(1024)}),
			)
			.mutation(async ({input}) => handlers.relayAnnouncements(input)),
		registerGeneration: t.procedure
			.input(generationLocationSchema)
			.mutation(async ({input}) => handlers.registerGeneration(input)),
		forgetGeneration: t.procedure
			.input(generationLocationSchema)
			.mutation(async ({input}) => handlers.forgetGeneration(input)),
		releaseGeneration: t.procedure
			.input(z.strictObject({generation: z.string().max(128)}))
			.mutation(async ({input}) => handlers.releaseGeneration(input)),
	});
}

/** Type of an entry's router. */
export type EntryPeerRouter = ReturnType<typeof createEntryPeerRouter>;
