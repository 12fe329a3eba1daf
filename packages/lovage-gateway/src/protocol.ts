import type {IncomingHttpHeaders} from 'node:http';
import type {BackendNotice} from '@lovagevalve/dispatch';

/** Request metadata that a caller sends in headers. */
export type RequestMetadata = Readonly<{
	/** Id of this attempt of the caller. */
	id: string;
	/**
	 * Time for which the caller waits, in milliseconds; absent if not specified.
	 */
	waitMs?: number;
	/** API key of the caller's customer. */
	key?: string;
	/** Number of prompt tokens; 0 for unary requests. */
	promptTokens: number;
	/** Maximum number of output tokens. */
	outputTokens: number;
	/**
	 * Ids of the parts of the prompt that other requests may share, without the
	 * part that belongs to this request alone.
	 */
	sharedParts: readonly string[];
	/** Id of the last event that the caller received in an earlier attempt. */
	lastEventId?: string;
	/** Id of the caller's attempt that brought the first event, if this one resumes it. */
	resumes?: string;
}>;

/**
 * Reference to a copy of a run's KV cache in the request that resumes from it.
 */
export type KvCopyReference = Readonly<{address: string; run: string}>;

/** An HTTP call that manages KV cache copies at a backend server. */
export type BackendCommand = Readonly<{
	method: 'GET' | 'POST' | 'DELETE';
	path: string;
	body?: string;
}>;

/** Metadata that the gateway adds to a forwarded request. */
export type BackendRequestMetadata = Readonly<{
	/** Id of the only backend server that may execute the request. */
	backend: string;
	customer?: string;
	/** Priority at the engine, 0 to 9, 0 first; absent if engines get none. */
	priority?: number;
	remainingMs: number;
	/**
	 * Address of the backend server that receives a copy of the run's KV cache.
	 */
	backupAddress?: string;
	/** The run resumes after this event. */
	lastEventId?: string;
	/** KV cache copy to resume from. */
	copy?: KvCopyReference;
	/** Length of the body in bytes; absent without a body. */
	bodyLength?: number;
}>;

/** Metadata of a request that another entry sends on. */
export type RelayMetadata = Readonly<{
	remainingMs: number;
	lastEventId?: string;
	resumes?: string;
	bodyLength?: number;
}>;

/** Response metadata that a backend server sends in headers. */
export type ResponseMetadata = Readonly<{
	/** Id of the request that this response belongs to. */
	requestId?: string;
	/** The backend server did not execute the request. */
	isNotRun: boolean;
	/**
	 * It carries the signature of a backend server, without which a success is none;
	 * absent in a deployment whose backend servers sign nothing.
	 */
	isSigned?: boolean;
	notice: BackendNotice;
}>;

/**
 * Translates the headers of callers and backend servers; supplied by the
 * deployment.
 */
export type HeaderCodec = Readonly<{
	readRequest: (headers: IncomingHttpHeaders) => RequestMetadata;
	/**
	 * Alternating header names and values for the request to a backend server.
	 */
	createBackendHeaders: (
		rawHeaders: readonly string[],
		call: BackendRequestMetadata,
	) => string[];
	/** Alternating header names and values for the request to another entry. */
	createRelayHeaders: (
		rawHeaders: readonly string[],
		relay: RelayMetadata,
	) => string[];
	readResponse: (
		status: number,
		headers: IncomingHttpHeaders,
	) => ResponseMetadata;
	/**
	 * Copies a run's KV cache to the backend server at `to`; the run continues.
	 */
	createCopyCommand: (requestId: string, to: string) => BackendCommand;
	/** Extracts the handle of the copy from the response to a copy command. */
	readCopyHandle: (text: string) => string | undefined;
	/** Asks a backend server what it says of itself. */
	createStatusCommand: () => BackendCommand;
	/** Extracts the start of the incarnation from its answer, in Unix milliseconds. */
	readBornAt: (text: string) => number | undefined;
	/** Frees a copy that is no longer needed. */
	createReleaseCommand: (copy: string) => BackendCommand;
}>;
