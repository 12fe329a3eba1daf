import {randomInt} from 'node:crypto';
import {mkdirSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';

/** The range lies below the ephemeral ports of outgoing connections. */
const FIRST_PORT = 12_000;
const PORT_COUNT = 18_000;
const RESERVATION_FOLDER = path.join(tmpdir(), 'lovagevalve-ports');

const reservationFiles = new Set<string>();

function isProcessRunning(pid: number): boolean {
	try {
		process.kill(pid, 0);
		return true;
	} catch {
		return false;
	}
}

function readOwnerPid(file: string): number {
	try {
		return Number(readFileSync(file, 'utf8'));
	} catch {
		return 0;
	}
}

function writeReservation(file: string, flag: 'w' | 'wx'): boolean {
	try {
		writeFileSync(file, String(process.pid), {flag});
		return true;
	} catch {
		return false;
	}
}

/**
 * Reserves a port with a lock file against the other processes on this machine
 * that pick ports. Takes over the lock file of a process that no longer runs.
 */
function reservePort(port: number): boolean {
	mkdirSync(RESERVATION_FOLDER, {recursive: true});
	const file = path.join(RESERVATION_FOLDER, String(port));
	const ownerPid = readOwnerPid(file);
	const isStale = ownerPid > 0 && !isProcessRunning(ownerPid);
	const isAcquired = writeReservation(file, isStale ? 'w' : 'wx');
	if (isAcquired) {
		reservationFiles.add(file);
	}

	return isAcquired;
}

process.on('exit', () => {
	reservationFiles.forEach((file) => {
		rmSync(file, {force: true});
	});
});

async function canBind(port: number): Promise<boolean> {
	return new Promise((resolve) => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** Picks a port that stays reserved, so that a restarted program can bind it again. */
export async function pickPort(): Promise<number> {
	const port = FIRST_PORT + randomInt(PORT_COUNT);
	return reservePort(port) && (await canBind(port)) ? port : pickPort();
}
