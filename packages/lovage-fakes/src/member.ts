import {startProgram, type Program, type ProgramSpec} from './program.js';
import type {Relay} from './relay.js';

/** A restartable program of a cluster. */
export type Member = Readonly<{
	name: string;
	/** Base URL that other members use: that of the relay, if there is one. */
	address: string;
	port: number;
	relay?: Relay;
	/** Starts or restarts the program. */
	start: () => Program;
	/** Returns the most recently started process. */
	getProgram: () => Program;
	/** Kills the process if it runs, even when it is stopped by SIGSTOP. */
	kill: () => Promise<void>;
}>;

/** Listening port of a member and the relay in front of it. */
export type MemberEndpoint = Readonly<{port: number; relay?: Relay}>;

/** Creates a member without starting it. */
export function createMember(
	spec: ProgramSpec,
	endpoint: MemberEndpoint,
): Member {
	let program: Program | undefined;

	const start = (): Program => {
		program = startProgram(spec);
		return program;
	};

	return {
		name: spec.name,
		address: `http://127.0.0.1:${endpoint.relay?.port ?? endpoint.port}`,
		port: endpoint.port,
		relay: endpoint.relay,
		start,
		getProgram() {
			if (program === undefined) {
				throw new Error(`${spec.name} has not been started`);
			}

			return program;
		},
		async kill() {
			if (program?.isRunning()) {
				await program.end('SIGKILL');
			}
		},
	};
}
