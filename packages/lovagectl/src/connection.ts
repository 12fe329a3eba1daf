import {readFile} from 'node:fs/promises';
import {loadSettings} from '@lovagevalve/runtime';
import {err, ok, ResultAsync, type Result} from 'neverthrow';
import VError from 'verror';
import {z} from 'zod';
import type {Host} from './host.js';
import {createError, type CommandError} from './outcome.js';

const settingsSchema = z.strictObject({
	/** Base URLs of the control instances. */
	control: z.array(z.url()).max(16).default([]),
	operator: z.string().min(1).max(63).optional(),
	/** File that contains the operator's key. */
	keyFile: z.string().min(1).optional(),
});

type Settings = z.output<typeof settingsSchema>;

/** Options for the control group's addresses and the operator's credentials. */
export type ConnectionOptions = Readonly<{
	control: readonly string[];
	operator: string | undefined;
	keyFile: string | undefined;
	settings: string | undefined;
}>;

/** Name and key of an operator. */
export type Credentials = Readonly<{operator: string; key: string}>;

function splitAddresses(text: string | undefined): readonly string[] {
	return (text ?? '')
		.split(',')
		.map((part) => part.trim())
		.filter((part) => part !== '');
}

async function readSettings(
	options: ConnectionOptions,
	host: Host,
): Promise<Result<Settings, CommandError>> {
	const file = options.settings ?? host.env.LOVAGECTL_SETTINGS;
	if (file === undefined) {
		return ok({control: []});
	}

	const loaded = await loadSettings<Settings>(file, settingsSchema);
	return loaded.mapErr(({lines}) => createError('usage', lines));
}

function checkAddress(address: string): Result<string, CommandError> {
	return z.url({protocol: /^https?$/}).safeParse(address).success
		? ok(address.replace(/\/+$/, ''))
		: err(createError('usage', `"${address}" is not an HTTP URL`));
}

function selectAddresses(
	options: ConnectionOptions,
	settings: Settings,
	host: Host,
): readonly string[] {
	const sources = [
		options.control,
		splitAddresses(host.env.LOVAGE_CONTROL),
		settings.control,
	];
	return sources.find((source) => source.length > 0) ?? [];
}

/**
 * Returns the control addresses from the first source that has any: options,
 * then environment, then settings file.
 */
export async function findControlAddresses(
	options: ConnectionOptions,
	host: Host,
): Promise<Result<readonly string[], CommandError>> {
	const settings = await readSettings(options, host);
	return settings.andThen((read) => {
		const addresses = selectAddresses(options, read, host);
		if (addresses.length === 0) {
			return err(
				createError(
					'usage',
					'no control address given: use --control, LOVAGE_CONTROL or a settings file',
				),
			);
		}

		const checked = addresses.map(checkAddress);
		const invalid = checked.find((address) => address.isErr());
		return invalid?.isErr()
			? err(invalid.error)
			: ok(
					checked.flatMap((address) => (address.isOk() ? [address.value] : [])),
				);
	});
}

function readKeyFile(file: string): ResultAsync<string, CommandError> {
	return ResultAsync.fromPromise(readFile(file, 'utf8'), (cause) => {
		const reason = cause instanceof Error ? cause : new Error(String(cause));
		return createError(
			'usage',
			new VError(reason, 'the key file cannot be read').message,
		);
	}).map((text) => text.trim());
}

/**
 * Returns the operator's name and key. The key cannot be given as an option,
 * because other users of the machine can read command-line arguments.
 */
export async function findCredentials(
	options: ConnectionOptions,
	host: Host,
): Promise<Result<Credentials, CommandError>> {
	const settings = await readSettings(options, host);
	if (settings.isErr()) {
		return err(settings.error);
	}

	const operator =
		options.operator ?? host.env.LOVAGE_OPERATOR ?? settings.value.operator;
	if (operator === undefined) {
		return err(
			createError(
				'usage',
				'no operator given: use --operator or LOVAGE_OPERATOR',
			),
		);
	}

	const file = options.keyFile ?? settings.value.keyFile;
	const key =
		file === undefined
			? ok(host.env.LOVAGE_OPERATOR_KEY ?? '')
			: await readKeyFile(file);
	return key.andThen((text) =>
		text === ''
			? err(
					createError(
						'usage',
						'no operator key given: use --key-file or LOVAGE_OPERATOR_KEY',
					),
				)
			: ok({operator, key: text}),
	);
}
