import {
	decideResume,
	isOriginDoubtful,
	MAX_ORIGIN_KEEP_MS,
	parseIncarnationKey,
	type ResumeDecision,
} from '@lovagevalve/dispatch';
import {hasOtherBegun, hasUnregistered} from './beginning-check.js';
import type {AcceptedRequest, GatewayContext} from './context.js';
import type {OriginLookup} from './origin-lookup.js';
import type {ProblemResponse} from './problem-response.js';
import {RETRY_AFTER_MS} from './responses.js';
import {createStreamKey, type KnownOrigin} from './stream-origins.js';

/** Longest time between a caller's deadline and its last resume. */
const RESUME_SLACK_MS = 10_000;

/** Whether the caller has events that the stream must fit to. */
export function isResumed({metadata}: AcceptedRequest): boolean {
	const {lastEventId = ''} = metadata;
	return lastEventId !== '' && lastEventId !== '0';
}

/** Time for which a caller may resume a stream that begins now, in milliseconds. */
export function readResumableMs({
	metadata,
	route,
}: Pick<AcceptedRequest, 'metadata' | 'route'>): number {
	const resumableMs =
		Math.max(metadata.waitMs ?? 0, route.timeoutMs) + RESUME_SLACK_MS;
	return Math.min(MAX_ORIGIN_KEEP_MS, resumableMs);
}

/** Whether what this entry recorded about a stream may be of another version. */
export function isDoubtful(
	{view}: Pick<GatewayContext, 'view'>,
	{origin, beginning, isAmbiguous}: KnownOrigin,
): boolean {
	if (isAmbiguous === true) {
		return true;
	}

	return (
		beginning !== undefined &&
		isOriginDoubtful(
			origin,
			beginning,
			view.find(parseIncarnationKey(beginning.incarnation).id),
		)
	);
}

/** Refuses a stream that an incarnation may have begun which has not registered. */
async function checkBeginning(
	ctx: GatewayContext,
	requestId: string,
	decision: ResumeDecision,
	{answers}: OriginLookup,
): Promise<ResumeDecision> {
	if (decision.kind === 'refuse') {
		return decision;
	}

	const beginning = answers.find((answer) => answer.beginning)?.beginning;
	switch (decision.evidence) {
		case 'reported': {
			return beginning !== undefined &&
				(await hasOtherBegun(ctx, beginning, requestId))
				? {
						kind: 'refuse',
						reason:
							'the backend server that began the stream had started again',
					}
				: decision;
		}

		case 'only version': {
			const {service} = decision.origin;
			return (await hasUnregistered(ctx, service, requestId))
				? {
						kind: 'refuse',
						reason: 'an unregistered software version may have begun it',
					}
				: decision;
		}
	}
}

/**
 * Binds a stream that a caller resumes to the service and software version that
 * began it, or says why it can't go on.
 */
export async function locateResumedStream(
	ctx: GatewayContext,
	req: AcceptedRequest,
): Promise<AcceptedRequest | ProblemResponse> {
	const {metadata, route, customer} = req;
	const {resumes} = metadata;
	const key =
		resumes === undefined ? undefined : createStreamKey(customer, resumes);
	const services = route.targets
		.filter(({weight}) => weight > 0)
		.map(({service}) => service);
	const own = key === undefined ? undefined : ctx.origins.find(key);
	const lookup: OriginLookup =
		own === undefined
			? await ctx.lookUpOrigin({key, services})
			: {
					controls: 0,
					silentControls: 0,
					answers: [
						{
							origin: own.origin,
							beginning: own.beginning,
							isAmbiguous: isDoubtful(ctx, own),
							knownForMs: 0,
							versions: {},
						},
					],
				};
	const found = decideResume({
		services,
		windowMs: readResumableMs(req),
		isNamed: key !== undefined,
		...lookup,
		ownVersions:
			services.length === 1
				? [...ctx.view.countSoftwareVersions(services[0]!).keys()]
				: [],
	});
	const decision = await checkBeginning(ctx, metadata.id, found, lookup);
	ctx.metrics.count('resumed_streams', {
		evidence: decision.kind === 'resume' ? decision.evidence : 'none',
	});
	ctx.log.info('A caller resumes a stream.', {
		request: metadata.id,
		resumes: resumes ?? '',
		lastEventId: metadata.lastEventId ?? '',
		isKnownHere: own !== undefined,
		controls: lookup.controls,
		silentControls: lookup.silentControls,
		answers: lookup.answers.length,
		...(decision.kind === 'resume'
			? {evidence: decision.evidence, ...decision.origin}
			: {refused: decision.reason}),
	});
	if (decision.kind === 'refuse') {
		const {reason} = decision;
		return {status: 503, reason, retryAfterMs: RETRY_AFTER_MS};
	}

	const {origin} = decision;
	if (key !== undefined) {
		ctx.origins.record(key, origin, readResumableMs(req));
	}

	const service = ctx.readRouteTable()?.findService(origin.service);
	return service === undefined
		? {status: 503, reason: 'the service of the stream is not configured'}
		: {...req, service, origin};
}
