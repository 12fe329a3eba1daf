import {startProgram, type Program, type ProgramSpec} from './program.js';
import type {Relay} from './relay.js';

/** A program of a cluster that can be started again after its end. */
export type Member = Readonly<{
	name: string;
	/** Base URL that the others know: the relay's, where there is one. */
	address: string;
	port: number;
	relay?: Relay;
	/** Starts the program, the first time or again. */
	start: () => Program;
	/** The program as started last. */
	getProgram: () => Program;
	/** Ends what runs at once, also when it is paused. */
	kill: () => Promise<void>;
}>;

/** Where a member listens and is reached. */
export type MemberEndpoint = Readonly<{port: number; relay?: Relay}>;

/** Creates a member that is not yet started. */
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
				throw new Error(`${spec.name} was not started`);
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
