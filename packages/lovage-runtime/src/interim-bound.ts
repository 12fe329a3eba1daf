/** A server sends one or two while it prepares an answer. */
export const MAX_INTERIM_ANSWERS = 16;

/** Counts interim answers; `onExceeded` is to close the connection. */
export function createInterimBound(onExceeded: () => void): () => void {
	let answers = 0;
	return () => {
		answers += 1;
		if (answers > MAX_INTERIM_ANSWERS) {
			onExceeded();
		}
	};
}
