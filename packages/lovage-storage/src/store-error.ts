/** Why a data folder can't be used. */
export type StoreError =
	/** Another process holds the folder. */
	| Readonly<{kind: 'locked'; holder: string}>
	/** What had been synced is not there any more: the disk counts as lost. */
	| Readonly<{kind: 'damaged'; reason: string}>
	/** A file call failed. */
	| Readonly<{kind: 'failed'; cause: Error}>;

/** Describes a problem in a sentence. */
export function describeStoreError(error: StoreError): string {
	switch (error.kind) {
		case 'locked': {
			return `The data folder is in use by ${error.holder}.`;
		}

		case 'damaged': {
			return `The data folder is damaged: ${error.reason}.`;
		}

		case 'failed': {
			return `A file call failed: ${error.cause.message}.`;
		}
	}
}

/** Makes an error of whatever was thrown. */
export function toError(thrown: unknown): Error {
	return thrown instanceof Error ? thrown : new Error(String(thrown));
}

/** A failed file call as a problem. */
export function toStoreError(thrown: unknown): StoreError {
	return {kind: 'failed', cause: toError(thrown)};
}
