import type {EntryState} from '@lovagevalve/entry-role';
import {createProblem} from '@lovagevalve/wire';
import {Hono} from 'hono';
import {readKeyHash} from './caller-app.js';
import {createProblemResponse} from './caller-stream.js';
import type {EntryHost} from './host.js';

/** Actions that operators can run on an entry. */
export type OperatorActions = Readonly<{
	/** Starts a graceful shutdown of the program. */
	drain: () => void;
	/** Returns a snapshot for the service-level burn report. */
	readReport: () => unknown;
}>;

function isOperator(state: EntryState, keyHash: string): boolean {
	const operators = state.lease.configuration?.inventory.operators ?? [];
	return operators.some((operator) => operator.keyHash === keyHash);
}

function describeStatus(state: EntryState) {
	return {
		id: state.options.id,
		phase: state.phase.kind,
		version: state.lease.version,
		streams: state.streams.size,
		calls: state.calls.size,
		backends: [...state.view.values()].map(({announcement, inFlight}) => ({
			id: announcement.id,
			service: announcement.service,
			state: announcement.state,
			incarnation: announcement.incarnation,
			inFlight,
		})),
		quarantine: state.quarantine,
	};
}

/** Creates the HTTP API for operators and the health check. */
export function createOperatorApp(
	host: EntryHost,
	actions: OperatorActions,
): Hono {
	const app = new Hono();

	app.get('/health', (ctx) => {
		const {phase, lease, options} = host.readState();
		const {version} = lease;
		return ctx.json({id: options.id, phase: phase.kind, version});
	});

	app.use('/v1/operator/*', async (ctx, next) => {
		if (
			!isOperator(
				host.readState(),
				readKeyHash(ctx.req.header('authorization')),
			)
		) {
			const detail = 'The key belongs to no operator.';
			return createProblemResponse(createProblem('forbidden', detail));
		}

		return next();
	});
	app.get('/v1/operator/status', (ctx) =>
		ctx.json(describeStatus(host.readState())),
	);
	app.get('/v1/operator/report', (ctx) =>
		ctx.json(actions.readReport() as Record<string, unknown>),
	);
	app.post('/v1/operator/drain', (ctx) => {
		actions.drain();
		return ctx.json({kind: 'draining'}, 202);
	});
	return app;
}
