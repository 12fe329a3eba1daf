#!/usr/bin/env node
import {randomUUID} from 'node:crypto';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {setTimeout} from 'node:timers/promises';
import type {Host} from './host.js';
import {runCommandLine} from './run-command-line.js';

const host: Host = {
	env: process.env,
	writeResult(line) {
		process.stdout.write(`${line}\n`);
	},
	writeMessage(line) {
		process.stderr.write(`lovagectl: ${line}\n`);
	},
	readInput: async () => text(process.stdin),
	now: () => performance.now(),
	wall: () => Date.now(),
	random: () => Math.random(),
	createId: () => randomUUID(),
	async sleep(ms) {
		await setTimeout(ms);
	},
};

process.exitCode = await runCommandLine(process.argv.slice(2), host);
