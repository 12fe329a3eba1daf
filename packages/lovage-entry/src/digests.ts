import {createHash} from 'node:crypto';
import type {CallRequest, GenerationRequest} from '@lovagevalve/wire';

function digestText(text: string): string {
	return createHash('sha256').update(text).digest('base64url');
}

/** Hashes a bearer key in the format of the inventory. */
export function hashBearerKey(key: string): string {
	return `sha256:${createHash('sha256').update(key).digest('hex')}`;
}

/**
 * Digest of the content of a generation request; detects reuse of a request id.
 */
export function digestGeneration(req: GenerationRequest): string {
	const {service, model, prompt, maxTokens} = req;
	return digestText(JSON.stringify([service, model, prompt, maxTokens]));
}

/** Digest of the content of a call; detects reuse of a request id. */
export function digestCall(req: CallRequest): string {
	const {service, operation, body} = req;
	return digestText(JSON.stringify([service, operation, body]));
}
