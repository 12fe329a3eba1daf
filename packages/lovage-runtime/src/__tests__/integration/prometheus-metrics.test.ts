import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {expect, it} from 'vitest';
import {createPrometheusMetrics} from '../../index.js';

// The error was a rejection that nothing handled, and ended the process.
it('answers 500 while a gauge cannot be read', async () => {
	const metrics = createPrometheusMetrics();
	let isBroken = true;
	metrics.registerGauge('broken', () => {
		if (isBroken) {
			throw new RangeError('no value');
		}

		return 7;
	});
	const server = metrics.serve('127.0.0.1', 0);
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const scrape = async (): Promise<Response> =>
		fetch(`http://127.0.0.1:${port}//%zz`, {
			signal: AbortSignal.timeout(1000),
		});
	await expect(scrape()).resolves.toMatchObject({status: 500});
	isBroken = false;
	await expect(scrape()).resolves.toMatchObject({status: 200});
	server.closeAllConnections();
	server.close();
});
