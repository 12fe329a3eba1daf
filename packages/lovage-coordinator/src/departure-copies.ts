/** Copies of a departure that outlive the loss of the tolerated disks. */
export function countRequiredCopies({
	tolerated,
	peers,
}: Readonly<{
	/** Number of instances whose disks may be lost at once. */
	tolerated: number;
	/** Number of the other control instances, in touch or not. */
	peers: number;
}>): number {
	return Math.min(tolerated, peers) + 1;
}

/** State of the attempts to store a departure at this instance and the others. */
export type CopyAttempts = Readonly<{
	stored: number;
	pending: number;
	required: number;
}>;

/** Whether a departure may be acknowledged, or is refused so that another instance is asked. */
export type CopyDecision = 'wait' | 'acknowledge' | 'refuse';

/** Decides about a departure from the copies that exist and those that may follow. */
export function decideCopies({
	stored,
	pending,
	required,
}: CopyAttempts): CopyDecision {
	if (stored >= required) {
		return 'acknowledge';
	}

	return stored + pending >= required ? 'wait' : 'refuse';
}

/** Runs attempts to store a departure; resolves with whether there are enough copies. */
export async function awaitCopies(
	attempts: ReadonlyArray<Promise<boolean>>,
	required: number,
): Promise<boolean> {
	let stored = 0;
	let pending = attempts.length;
	return new Promise((resolve) => {
		const decide = (): void => {
			const decision = decideCopies({stored, pending, required});
			if (decision !== 'wait') {
				resolve(decision === 'acknowledge');
			}
		};

		attempts.forEach(async (attempt) => {
			const isStored = await attempt;
			pending -= 1;
			stored += isStored ? 1 : 0;
			decide();
		});
		decide();
	});
}
