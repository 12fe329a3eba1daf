/** Reason why a data folder can't be opened. */
export type StoreError =
	/** Another process holds the lock of the folder. */
	| Readonly<{kind: 'locked'; holder: string}>
	/** Synced data is missing or corrupt: the disk counts as lost. */
	| Readonly<{kind: 'damaged'; reason: string}>
	/** A file operation failed. */
	| Readonly<{kind: 'failed'; cause: Error}>;

/** Formats a store error as a sentence. */
export function describeStoreError(error: StoreError): string {
	switch (error.kind) {
		case 'locked': {
			return `The data folder is locked by process ${error.holder}.`;
		}

		case 'damaged': {
			return `The data folder is damaged: ${error.reason}.`;
		}

		case 'failed': {
			return `A file operation failed: ${error.cause.message}.`;
		}
	}
}

/** Converts a thrown value to an `Error`. */
export function toError(thrown: unknown): Error {
	return thrown instanceof Error ? thrown : new Error(String(thrown));
}

/** Wraps the error of a file operation. */
export function toStoreError(thrown: unknown): StoreError {
	return {kind: 'failed', cause: toError(thrown)};
}
