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
	/** Entry that serves the caller. */
	entry: z.string(),
});

/** Where a generation lives, kept in memory at its home entry. */
export type GenerationLocation = z.output<typeof generationLocationSchema>;

/** Answer of a home entry. */
export type LocationLookupResponse =
	| {kind: 'found'; place: GenerationLocation}
	| {kind: 'absent'}
	/** The same id came with another body. */
	| {kind: 'conflict'};

/** What an entry does for the other entries. */
export type EntryPeerHandlers = Readonly<{
	relayAnnouncements: (input: {
		announcements: readonly Announcement[];
	}) => Promise<{kind: 'taken'}>;
	/** Registers a generation unless another is there, and says which holds. */
	registerGeneration: (
		input: GenerationLocation,
	) => Promise<LocationLookupResponse>;
	/** Forgets a generation that ended without a whole answer. */
	forgetGeneration: (input: GenerationLocation) => Promise<{kind: 'taken'}>;
	/** Another entry serves the caller now: its attempt is not cancelled. */
	releaseGeneration: (input: {generation: string}) => Promise<{kind: 'taken'}>;
}>;

const t = initTRPC.create();

/** Router of an entry towards other entries. */
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

/** Type of the entry's router. */
export type EntryPeerRouter = ReturnType<typeof createEntryPeerRouter>;
