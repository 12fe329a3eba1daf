import {MAX_ORIGIN_KEEP_MS} from '@lovagevalve/dispatch';
import {expect, it} from 'vitest';
import {readResumableMs} from '../../resume-location.js';
import {configuration, testCodec} from '../integration/harness.js';

// Other entries refused a message with one longer time, and all origins in it.
it.each([
	[1000, 35_000],
	[60_000, 70_000],
	[1e6, MAX_ORIGIN_KEEP_MS],
	[1e300, MAX_ORIGIN_KEEP_MS],
])('a stream whose caller waits %s ms is kept for %s ms', (waitMs, keepMs) => {
	const metadata = {...testCodec.readRequest({}), waitMs};
	const route = {...configuration.routes[0]!, timeoutMs: 25_000};
	expect(readResumableMs({metadata, route})).toBe(keepMs);
});
