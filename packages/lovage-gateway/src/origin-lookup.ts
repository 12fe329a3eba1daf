import type {OriginAnswer} from '@lovagevalve/dispatch';

/** What the control instances answered about a resumed stream. */
export type OriginLookup = Readonly<{
	/** Number of control instances that were asked. */
	controls: number;
	/** Number of those that served lately, have not ended and did not answer. */
	silentControls: number;
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

/** Asks one control instance; `ended` if it runs no more, `silent` if it doesn't answer. */
export type AskControl = (
	address: string,
	query: OriginQuery,
	timeoutMs: number,
) => Promise<OriginAnswer | 'ended' | 'silent'>;

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
	let silentControls = 0;
	let settle: () => void = () => undefined;
	const found = new Promise<void>((resolve) => {
		settle = resolve;
	});

	const askOne = async (address: string): Promise<void> => {
		const first = await ask(address, query, LOOKUP_TIMEOUT_MS);
		const answer =
			first === 'silent' ? await ask(address, query, LOOKUP_TIMEOUT_MS) : first;
		if (answer === 'silent') {
			silentControls += 1;
		} else if (answer !== 'ended') {
			answers.push(answer);
			if (answer.origin !== undefined) {
				settle();
			}
		}
	};

	await Promise.race([
		found,
		Promise.all(controls.map(async (address) => askOne(address))),
	]);
	return {controls: controls.length, silentControls, answers};
}
