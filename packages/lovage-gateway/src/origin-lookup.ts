import type {OriginAnswer} from '@lovagevalve/dispatch';

/** What the control instances answered about a resumed stream. */
export type OriginLookup = Readonly<{
	/** Number of control instances that were asked. */
	controls: number;
	answers: readonly OriginAnswer[];
}>;

/** Identity of a resumed stream and the services that may run it. */
export type OriginQuery = Readonly<{
	/** Absent if the caller names no earlier attempt. */
	key?: string;
	services: readonly string[];
}>;

/** Control instances answer within milliseconds; busy ones are asked once more. */
const LOOKUP_TIMEOUT_MS = 500;

/** Asks one control instance; resolves with undefined if it doesn't answer. */
export type AskControl = (
	address: string,
	query: OriginQuery,
	timeoutMs: number,
) => Promise<OriginAnswer | undefined>;

/**
 * Asks all control instances for the origin of a stream, as each may have received
 * the report of another entry; resolves with the first that knows it, or when all
 * have answered.
 */
export async function lookUpOrigin(
	controls: readonly string[],
	query: OriginQuery,
	ask: AskControl,
): Promise<OriginLookup> {
	const answers: OriginAnswer[] = [];
	return new Promise((resolve) => {
		const settle = (): void => {
			resolve({controls: controls.length, answers});
		};

		const askOne = async (address: string): Promise<void> => {
			const answer =
				(await ask(address, query, LOOKUP_TIMEOUT_MS)) ??
				(await ask(address, query, LOOKUP_TIMEOUT_MS));
			if (answer !== undefined) {
				answers.push(answer);
			}

			if (answer?.origin !== undefined) {
				settle();
			}
		};

		const askAll = async (): Promise<void> => {
			await Promise.all(controls.map(async (address) => askOne(address)));
			settle();
		};

		void askAll();
	});
}
