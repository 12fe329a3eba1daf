import {createHash} from 'node:crypto';
import type {CallRequest, GenerationRequest} from '@lovagevalve/wire';

function digestText(text: string): string {
	return createHash('sha256').update(text).digest('base64url');
}

/** Hash of a key as the inventory holds it. */
export function hashBearerKey(key: string): string {
	return `sha256:${createHash('sha256').update(key).digest('hex')}`;
}

/** Digest of what a generation is asked to do. */
export function digestGeneration(req: GenerationRequest): string {
	const {service, model, prompt, maxTokens} = req;
	return digestText(JSON.stringify([service, model, prompt, maxTokens]));
}

/** Digest of what a call is asked to do. */
export function digestCall(req: CallRequest): string {
	const {service, operation, body} = req;
	return digestText(JSON.stringify([service, operation, body]));
}
