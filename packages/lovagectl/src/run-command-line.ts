import {runSafely} from 'cmd-ts';
import {createApp, type HandlerResult} from './app.js';
import {EXIT_CODES, EXIT_OK} from './exit-codes.js';
import type {Host} from './host.js';
import type {CommandError, Output} from './outcome.js';

function printOutput(output: Output, isJson: boolean, host: Host): number {
	const lines = isJson ? [JSON.stringify(output.json)] : output.lines;
	lines.forEach((line) => {
		host.writeResult(line);
	});
	return output.exitCode ?? EXIT_OK;
}

function printError(
	{exitCode, ...error}: CommandError,
	isJson: boolean,
	host: Host,
): number {
	error.messages.forEach((message) => {
		host.writeMessage(message);
	});
	if (isJson) {
		host.writeResult(JSON.stringify({error}));
	}

	return exitCode ?? EXIT_CODES[error.kind];
}

/** Runs lovagectl with the given arguments and returns the exit code. */
export async function runCommandLine(
	args: readonly string[],
	host: Host,
): Promise<number> {
	const parsed = await runSafely(createApp(host), [...args]);
	if (parsed._tag === 'error') {
		const {exitCode, message, into} = parsed.error.config;
		const write = into === 'stdout' ? host.writeResult : host.writeMessage;
		write(message);
		return exitCode === 0 ? EXIT_OK : EXIT_CODES.usage;
	}

	const {value} = parsed.value;
	const handled: Promise<HandlerResult> =
		'command' in value ? value.value : value;
	const {isJson, result} = await handled;
	return result.match(
		(output) => printOutput(output, isJson, host),
		(error) => printError(error, isJson, host),
	);
}
