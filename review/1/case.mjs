/* eslint @typescript-eslint/switch-exhaustiveness-check: "off" -- it needs types, which JavaScript has none of */
// A core machine is replaced; then another one loses its disk.
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {createConfiguration} from '../lib/configuration.mjs';
import {
	BOUNDS,
	call,
	HAS_TROUBLE,
	putConfiguration,
	runCase,
} from '../lib/system.mjs';

/** Time from the start of the successor until the stop of the machine that it replaces. */
const REPLACED_AFTER_MS = 6000;
/** Time from the end of that machine until another one loses its disk. */
const DISK_LOST_AFTER_MS = Number(process.env.GAP_MS ?? 2000);
const DOWN_MS = 1000;
const PATIENCE_MS = 10_000;
/** Time of the last reads; the operator reads for at least `contact-ms`. */
const READ_MS = 20_000;

await runCase(import.meta.dirname, async (system, record) => {
	const zones = ['bne-a', 'bne-b', 'syd-a'];
	const founders = zones.map((zone, i) => system.createControl(i + 1, zone));
	const [replaced, wiped, third] = founders;
	const successor = system.createControl(4, zones[0]);
	founders.forEach((node) => {
		node.start({isFirstStart: true});
	});
	const put = async (version, nodes) =>
		putConfiguration(record, nodes, createConfiguration(version), PATIENCE_MS);
	if (!(await put(1, founders))) {
		throw new Error('the first configuration was not acknowledged');
	}

	await sleep(3000);
	successor.start();
	await sleep(REPLACED_AFTER_MS);
	replaced.signal('SIGTERM');
	await replaced.awaitEnd();
	const nodes = [successor, wiped, third];
	system.nameSeeds(nodes);
	await sleep(DISK_LOST_AFTER_MS);
	if (!(await put(2, [wiped, ...nodes]))) {
		throw new Error('no change is acknowledged after the replacement');
	}

	if (HAS_TROUBLE) {
		wiped.signal('SIGKILL');
		await wiped.awaitEnd();
		wiped.loseDisk();
		await sleep(DOWN_MS);
		wiped.start();
	}

	record(`all machines are up; waiting for recovery-s ${BOUNDS['recovery-s']}`);
	await sleep(BOUNDS['recovery-s'] * 1000);
	const isChanged = await put(3, nodes);
	const newest = isChanged ? 3 : 2;
	const endsAt = performance.now() + READ_MS;
	let found;
	while (performance.now() < endsAt && found === undefined) {
		for (const node of nodes) {
			/* eslint-disable no-await-in-loop -- the next node is tried after a failure */
			const answer = await call({address: node.control, path: '/v1/config'});
			record(
				`GET /v1/config at ${node.name}: ${answer?.status ?? 'no answer'}`,
			);
			if (answer?.status === 200) {
				found = JSON.parse(answer.body).version;
			}

			await sleep(300);
			/* eslint-enable no-await-in-loop */
		}
	}

	const isBroken = found === undefined || found < newest;
	return {
		isBroken,
		summary: `${isBroken ? 'CONFIG broken' : 'held'}: read back ${found ?? 'nothing'}, acknowledged up to ${newest}, version 3 ${isChanged ? 'acknowledged' : 'not acknowledged'}`,
	};
});
