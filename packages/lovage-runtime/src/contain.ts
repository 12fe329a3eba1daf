/**
 * Runs a task that nothing waits for. An error ends this run alone and is reported
 * to `onError`; without this, its rejection would end the process.
 */
export function runContained(
	task: () => Promise<unknown>,
	onError: (error: unknown) => void,
): void {
	const run = async (): Promise<void> => {
		try {
			await task();
		} catch (error) {
			onError(error);
		}
	};

	void run();
}
