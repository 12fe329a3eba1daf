import {
	diffConfigurations,
	formatChange,
	type Configuration,
} from '@lovagevalve/inventory';
import type {ApplyResponse, ApplyRequest, Redirect} from '@lovagevalve/wire';
import {createPlan, formatPlan, type Plan} from './command-plan.js';
import {
	readConfigurationFiles,
	type ConfigurationFiles,
} from './configuration-files.js';
import type {Credentials} from './connection.js';
import type {ControlSession} from './control-session.js';
import type {Host} from './host.js';
import {createOutput, fail, type CommandResult} from './outcome.js';

/** A change as the operator asks for it. */
export type ApplyOptions = Readonly<{
	files: ConfigurationFiles;
	credentials: Credentials;
	/** Absent: the version that is read now. */
	baseVersion: number | undefined;
	/** Absent: a new one. */
	operationId: string | undefined;
	timeoutMs: number;
}>;

type Decision = Exclude<ApplyResponse, Redirect>;

function explainConflict(
	answer: Extract<Decision, {kind: 'conflict'}>,
	wanted: Configuration,
): CommandResult {
	const changes = diffConfigurations(answer.configuration, wanted);
	return fail(
		'conflict',
		[
			`version ${answer.version} by operation ${answer.operationId} is already accepted; nothing was changed`,
			'what your files would change in it:',
			...changes.map(formatChange),
		],
		{version: answer.version, operationId: answer.operationId, changes},
	);
}

function explainDecision(answer: Decision, req: ApplyRequest): CommandResult {
	switch (answer.kind) {
		case 'accepted': {
			const {version, repeated} = answer;
			const note = repeated ? ', by an earlier send of this operation' : '';
			return createOutput([`version ${version} is accepted${note}`], {
				version,
				repeated,
				operationId: req.operationId,
			});
		}

		case 'conflict': {
			return explainConflict(answer, req.configuration);
		}

		case 'forbidden': {
			return fail(
				'forbidden',
				`operator "${req.operator}" with this key may not change the configuration`,
			);
		}
	}
}

async function send(
	req: ApplyRequest,
	session: ControlSession,
	timeoutMs: number,
): Promise<CommandResult> {
	const answer = await session.askLeader<ApplyResponse>(
		async (client, signal) => client.applyConfiguration.mutate(req, {signal}),
		timeoutMs,
	);
	return answer
		.mapErr((error) =>
			error.kind === 'unavailable'
				? {
						...error,
						messages: [
							...error.messages,
							`whether the change was accepted is not known; repeat it with --base-version ${req.baseVersion} --operation-id ${req.operationId}`,
						],
						detail: {
							baseVersion: req.baseVersion,
							operationId: req.operationId,
						},
					}
				: error,
		)
		.andThen((decision) => explainDecision(decision, req));
}

function announce(plan: Plan, operationId: string, host: Host): void {
	formatPlan(plan).forEach((line) => {
		host.writeMessage(line);
	});
	host.writeMessage(
		`operation ${operationId}; to repeat it: --base-version ${plan.baseVersion} --operation-id ${operationId}`,
	);
}

async function applyOnCurrent(
	options: ApplyOptions,
	session: ControlSession,
	host: Host,
): Promise<CommandResult> {
	const plan = await createPlan(options.files, session, options.timeoutMs);
	if (plan.isErr()) {
		return fail(plan.error.kind, plan.error.messages, plan.error.detail);
	}

	const {baseVersion, configuration, changes} = plan.value;
	if (changes.length === 0) {
		return createOutput([`nothing to change in version ${baseVersion}`], {
			version: baseVersion,
			repeated: false,
		});
	}

	const operationId = options.operationId ?? host.createId();
	announce(plan.value, operationId, host);
	const req = {...options.credentials, baseVersion, operationId, configuration};
	return send(req, session, options.timeoutMs);
}

/**
 * Asks for a change. With a base version, the same operation id may be sent
 * any number of times and gets the outcome of the first.
 */
export async function apply(
	options: ApplyOptions,
	session: ControlSession,
	host: Host,
): Promise<CommandResult> {
	const {baseVersion, credentials, files, timeoutMs} = options;
	if (baseVersion === undefined) {
		return applyOnCurrent(options, session, host);
	}

	const cfg = await readConfigurationFiles(files);
	if (cfg.isErr()) {
		return fail(cfg.error.kind, cfg.error.messages, cfg.error.detail);
	}

	const operationId = options.operationId ?? host.createId();
	host.writeMessage(`operation ${operationId}`);
	const configuration = cfg.value;
	const req = {...credentials, baseVersion, operationId, configuration};
	return send(req, session, timeoutMs);
}
