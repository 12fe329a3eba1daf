import type {Result} from 'neverthrow';
import type {Logger} from './logs.js';

/** A part that runs. */
export type RunningChild = Readonly<{
	/** Stops the part; what it holds is finished first. */
	stop: () => Promise<void>;
}>;

/** Why a part failed. */
export type ChildError = Readonly<{kind: string; message: string}>;

/** How to start one part of the tree. */
export type ChildSpec = Readonly<{
	name: string;
	/** Starts the part; it calls `fail` when it fails later. */
	start: (
		fail: (error: ChildError) => void,
	) => Promise<Result<RunningChild, ChildError>>;
}>;

/** Bounds of the restarts of one part before its supervisor gives up. */
export type RestartPolicy = Readonly<{
	maxRestarts: number;
	withinMs: number;
}>;

/** A supervisor that runs; it is itself a part. */
export type Supervisor = RunningChild;

/** What a supervisor needs from its program. */
export type SupervisorOptions = Readonly<{
	name: string;
	log: Logger;
	now: () => number;
	policy: RestartPolicy;
	/** Called once when the restarts are used up or a start fails. */
	giveUp: (error: ChildError) => void;
}>;

type Child = {
	spec: ChildSpec;
	running?: RunningChild;
	restarts: number[];
};

/**
 * Starts parts in order and restarts one that fails. When a part uses up its
 * restarts, every part is stopped in reverse order and `giveUp` is called.
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
			// Parts depend on those before them, so they stop one by one.
			// eslint-disable-next-line no-await-in-loop
			await child.running?.stop();
			child.running = undefined;
		}
	};

	const giveUp = async (error: ChildError): Promise<void> => {
		if (isStopping) {
			return;
		}

		log.error('A part failed for good.', {message: error.message});
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
		log.debug('A part started.', {child: child.spec.name});
	};

	const restart = async (child: Child, error: ChildError): Promise<void> => {
		if (isStopping) {
			return;
		}

		const since = now() - policy.withinMs;
		child.restarts = [...child.restarts.filter((at) => at >= since), now()];
		log.warn('A part failed and is restarted.', {
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
