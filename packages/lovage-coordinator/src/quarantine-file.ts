import {Buffer} from 'node:buffer';
import path from 'node:path';
import type {QuarantineState} from '@lovagevalve/quarantine';
import {createFileAtomically, nodeFileSystem} from '@lovagevalve/storage';
import {err, ok, type Result} from 'neverthrow';

/** Keeps the quarantine of a control instance over its restarts. */
export type QuarantineFile = Readonly<{
	/** Reads the stored state; undefined if there is none. */
	load: () => Promise<Result<QuarantineState | undefined, string>>;
	/** Resolves when the state is durable, or with the reason why it is not. */
	save: (state: QuarantineState) => Promise<Result<void, string>>;
}>;

const FILE_NAME = 'quarantine.json';

function describeError(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}

function isQuarantineState(value: unknown): value is QuarantineState {
	const {now, deaths, records, convicted} = (value ?? {}) as Partial<
		Record<keyof QuarantineState, unknown>
	>;
	return (
		typeof now === 'number' &&
		Array.isArray(deaths) &&
		typeof records === 'object' &&
		typeof convicted === 'object'
	);
}

/** Creates access to the quarantine's file in a data folder. */
export function createQuarantineFile(folder: string): QuarantineFile {
	return {
		async load() {
			try {
				const content = await nodeFileSystem.read(path.join(folder, FILE_NAME));
				if (content === undefined) {
					return ok(undefined);
				}

				const stored: unknown = JSON.parse(
					Buffer.from(content).toString('utf8'),
				);
				return isQuarantineState(stored)
					? ok(stored)
					: err('the file does not hold a quarantine');
			} catch (error) {
				return err(describeError(error));
			}
		},
		async save(state) {
			try {
				await nodeFileSystem.createFolder(folder);
				const file = await createFileAtomically(
					nodeFileSystem,
					folder,
					FILE_NAME,
					Buffer.from(JSON.stringify(state)),
				);
				await file.close();
				return ok();
			} catch (error) {
				return err(describeError(error));
			}
		},
	};
}
