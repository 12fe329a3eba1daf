import type {Result} from 'neverthrow';
import type {Logger} from './logs.js';

/** A running child of a supervisor. */
export type RunningChild = Readonly<{
	/** Completes the work in progress, then stops the child. */
	stop: () => Promise<void>;
}>;

/** Reason why a child failed. */
export type ChildError = Readonly<{kind: string; message: string}>;

/** Describes how to start a child of the supervision tree. */
export type ChildSpec = Readonly<{
	name: string;
	/** Starts the child, which calls `fail` if it fails later. */
	start: (
		fail: (error: ChildError) => void,
	) => Promise<Result<RunningChild, ChildError>>;
}>;

/**
 * Maximum number of restarts of a child within a time window before its
 * supervisor gives up.
 */
export type RestartPolicy = Readonly<{
	maxRestarts: number;
	withinMs: number;
}>;

/** A running supervisor, which can itself be supervised. */
export type Supervisor = RunningChild;

/** Options of a supervisor. */
export type SupervisorOptions = Readonly<{
	name: string;
	log: Logger;
	now: () => number;
	policy: RestartPolicy;
	/** Called once if a child exceeds its restarts or fails to start. */
	giveUp: (error: ChildError) => void;
}>;

type Child = {
	spec: ChildSpec;
	running?: RunningChild;
	restarts: number[];
};

/**
 * Starts children in order and restarts any that fails. When a child exceeds its
 * restarts, all children are stopped in reverse order and `giveUp` is called.
 */
export async function startSupervisor(
	specs: readonly ChildSpec[],
	options: SupervisorOptions,
): Promise<Supervisor> {
	const {log, now, policy} = options;
	const children: Child[] = specs.map((spec) => ({spec, restarts: []}));
	let isStopping = false;

	const stopAll = async (): Promise<void> => {
		isStopping = true;
		for (const child of children.toReversed()) {
			// Children depend on those started before them, so they stop sequentially.
			// eslint-disable-next-line no-await-in-loop
			await child.running?.stop();
			child.running = undefined;
		}
	};

	const giveUp = async (error: ChildError): Promise<void> => {
		if (isStopping) {
			return;
		}

		log.error('Child failed permanently.', {message: error.message});
		await stopAll();
		options.giveUp(error);
	};

	const start = async (child: Child): Promise<void> => {
		const result = await child.spec.start((error) => {
			void restart(child, error);
		});
		if (result.isErr()) {
			await giveUp(result.error);
			return;
		}

		child.running = result.value;
		log.debug('Child started.', {child: child.spec.name});
	};

	const restart = async (child: Child, error: ChildError): Promise<void> => {
		if (isStopping) {
			return;
		}

		const since = now() - policy.withinMs;
		child.restarts = [...child.restarts.filter((at) => at >= since), now()];
		log.warn('Child failed; restarting.', {
			child: child.spec.name,
			message: error.message,
		});
		if (child.restarts.length > policy.maxRestarts) {
			await giveUp(error);
			return;
		}

		await child.running?.stop();
		child.running = undefined;
		await start(child);
	};

	for (const child of children) {
		if (!isStopping) {
			// eslint-disable-next-line no-await-in-loop
			await start(child);
		}
	}

	return {
		async stop() {
			if (!isStopping) {
				await stopAll();
			}
		},
	};
}
