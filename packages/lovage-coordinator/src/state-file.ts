import {Buffer} from 'node:buffer';
import path from 'node:path';
import {createFileAtomically, nodeFileSystem} from '@lovagevalve/storage';
import {err, ok, type Result} from 'neverthrow';

/** Keeps a state of a control instance over its restarts. */
export type StateFile<State> = Readonly<{
	/** Reads the stored state; undefined if there is none. */
	load: () => Promise<Result<State | undefined, string>>;
	/** Resolves when the state is durable, or with the reason why it is not. */
	save: (state: State) => Promise<Result<void, string>>;
}>;

function readMessage(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}

/** Creates access to a file of JSON in a data folder; `isState` checks what is read. */
export function createStateFile<State>(
	folder: string,
	fileName: string,
	isState: (value: unknown) => value is State,
): StateFile<State> {
	return {
		async load() {
			try {
				const content = await nodeFileSystem.read(path.join(folder, fileName));
				if (content === undefined) {
					return ok(undefined);
				}

				const stored: unknown = JSON.parse(
					Buffer.from(content).toString('utf8'),
				);
				return isState(stored)
					? ok(stored)
					: err(`${fileName} does not hold what it should`);
			} catch (error) {
				return err(readMessage(error));
			}
		},
		async save(state) {
			try {
				await nodeFileSystem.createFolder(folder);
				const file = await createFileAtomically(
					nodeFileSystem,
					folder,
					fileName,
					Buffer.from(JSON.stringify(state)),
				);
				await file.close();
				return ok();
			} catch (error) {
				return err(readMessage(error));
			}
		},
	};
}
