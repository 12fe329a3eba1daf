import type {IncomingHttpHeaders} from 'node:http';

/** What a caller says of its request. */
export type RequestMetadata = Readonly<{
	/** Identity of this attempt of the caller. */
	id: string;
	/** How long the caller waits, in milliseconds; absent if it doesn't say. */
	waitMs?: number;
	/** Key of the caller's customer. */
	key?: string;
	/** Prompt tokens to read; 0 for plain requests. */
	promptTokens: number;
	/** Most tokens that are generated. */
	outputTokens: number;
	/** Last event that the caller has from an earlier attempt. */
	lastEventId?: string;
}>;

/** A copy of a run's memory, as the request that goes on with it names it. */
export type KvCopyReference = Readonly<{address: string; run: string}>;

/** A call to a backend server beside its requests. */
export type BackendCommand = Readonly<{
	method: 'POST' | 'DELETE';
	path: string;
	body?: string;
}>;

/** What the system adds to a request on its way to a backend server. */
export type BackendRequestMetadata = Readonly<{
	/** The only backend server that may run it. */
	backend: string;
	customer?: string;
	remainingMs: number;
	/** Backend server that gets a copy of the run's memory. */
	backupAddress?: string;
	/** The run goes on after this event. */
	lastEventId?: string;
	/** Memory to go on with. */
	copy?: KvCopyReference;
	/** Bytes of the body; absent where there is none. */
	bodyLength?: number;
}>;

/** What a backend server says of its answer. */
export type ResponseMetadata = Readonly<{
	/** Request that it answers. */
	requestId?: string;
	/** It did not run the request. */
	isNotRun: boolean;
}>;

/** Translates headers of callers and backend servers; the deployment's adapter supplies it. */
export type HeaderCodec = Readonly<{
	readRequest: (headers: IncomingHttpHeaders) => RequestMetadata;
	/** Names and values in turn, for the request to a backend server. */
	createBackendHeaders: (
		rawHeaders: readonly string[],
		call: BackendRequestMetadata,
	) => string[];
	readResponse: (
		status: number,
		headers: IncomingHttpHeaders,
	) => ResponseMetadata;
	/** Orders a copy of a run's memory to the backend server at `to`; the run goes on. */
	createCopyCommand: (requestId: string, to: string) => BackendCommand;
	/** Reads the name of the copy out of the answer to such an order. */
	readCopyHandle: (text: string) => string | undefined;
	/** Frees a copy that is not needed any more. */
	createReleaseCommand: (copy: string) => BackendCommand;
}>;
