import {err, ok, type Result} from 'neverthrow';

/** Path and query of a request. */
export type RequestTarget = Readonly<{path: string; query: URLSearchParams}>;

const PLACEHOLDER_BASE_URL = 'http://instance';

/** Parses the target of a request, in origin or absolute form. */
export function parseRequestTarget(
	target: string,
): Result<RequestTarget, string> {
	// A path that begins with two slashes would be taken for a host.
	const text = target.startsWith('/') ? PLACEHOLDER_BASE_URL + target : target;
	if (!URL.canParse(text)) {
		return err('the target is neither a path nor a URL');
	}

	const {pathname, searchParams} = new URL(text);
	return ok({path: pathname, query: searchParams});
}

/** Decodes a segment of a path; an error means that it can't be read. */
export function decodePathSegment(segment: string): Result<string, string> {
	try {
		return ok(decodeURIComponent(segment));
	} catch {
		return err('the path is not encoded as it should be');
	}
}
