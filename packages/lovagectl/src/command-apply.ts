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

/** Options of the apply command. */
export type ApplyOptions = Readonly<{
	files: ConfigurationFiles;
	credentials: Credentials;
	/** Defaults to the current version. */
	baseVersion: number | undefined;
	/** Idempotency key; generated when undefined. */
	operationId: string | undefined;
	timeoutMs: number;
}>;

type Decision = Exclude<ApplyResponse, Redirect>;

function explainConflict(
	answer: Extract<Decision, {kind: 'conflict'}>,
	requested: Configuration,
): CommandResult {
	const changes = diffConfigurations(answer.configuration, requested);
	return fail(
		'conflict',
		[
			`version ${answer.version} from operation ${answer.operationId} is already accepted; nothing was changed`,
			'differences between that version and your files:',
			...changes.map(formatChange),
		],
		{version: answer.version, operationId: answer.operationId, changes},
	);
}

function explainDecision(answer: Decision, req: ApplyRequest): CommandResult {
	switch (answer.kind) {
		case 'accepted': {
			const {version, repeated} = answer;
			const note = repeated ? ' (by an earlier attempt of this operation)' : '';
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
				`operator "${req.operator}" with this key is not allowed to change the configuration`,
			);
		}
	}
}

async function sendApplyRequest(
	req: ApplyRequest,
	session: ControlSession,
	timeoutMs: number,
): Promise<CommandResult> {
	const answer = await session.callLeader<ApplyResponse>(
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
							`unknown whether the change was accepted; retry with --base-version ${req.baseVersion} --operation-id ${req.operationId}`,
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

function reportPlan(plan: Plan, operationId: string, host: Host): void {
	formatPlan(plan).forEach((line) => {
		host.writeMessage(line);
	});
	host.writeMessage(
		`operation ${operationId}; to retry: --base-version ${plan.baseVersion} --operation-id ${operationId}`,
	);
}

async function applyToCurrentVersion(
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
		return createOutput([`no changes to version ${baseVersion}`], {
			version: baseVersion,
			repeated: false,
		});
	}

	const operationId = options.operationId ?? host.createId();
	reportPlan(plan.value, operationId, host);
	const req = {...options.credentials, baseVersion, operationId, configuration};
	return sendApplyRequest(req, session, options.timeoutMs);
}

/**
 * Applies a configuration change. With an explicit base version, retries with
 * the same operation id are idempotent and return the first outcome.
 */
export async function apply(
	options: ApplyOptions,
	session: ControlSession,
	host: Host,
): Promise<CommandResult> {
	const {baseVersion, credentials, files, timeoutMs} = options;
	if (baseVersion === undefined) {
		return applyToCurrentVersion(options, session, host);
	}

	const cfg = await readConfigurationFiles(files);
	if (cfg.isErr()) {
		return fail(cfg.error.kind, cfg.error.messages, cfg.error.detail);
	}

	const operationId = options.operationId ?? host.createId();
	host.writeMessage(`operation ${operationId}`);
	const configuration = cfg.value;
	const req = {...credentials, baseVersion, operationId, configuration};
	return sendApplyRequest(req, session, timeoutMs);
}
