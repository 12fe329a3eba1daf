import {
	type BackendRecord,
	createIncarnationKey,
	decideUnplaced,
	isRepeatable,
	type PlacementRequest,
	readSoftwareVersion,
	type UnplacedDecision,
} from '@lovagevalve/dispatch';
import {
	type Exchange,
	type ExchangeListener,
	type ExchangeRequest,
	openExchange,
} from './backend-exchange.js';
import {proveBeginning} from './beginning-check.js';
import {hasCopyRoom} from './copy-room.js';
import {
	type AcceptedRequest,
	createPlacementRequest,
	type GatewayContext,
} from './context.js';
import type {KvCopy} from './kv-backup.js';
import {choosePeer, chooseRelayPeer} from './peer-relay.js';
import {openProvedExchange} from './proved-exchange.js';
import {isDoubtful, readResumableMs} from './resume-location.js';
import type {StreamAttempts} from './stream-attempts.js';
import {createStreamKey} from './stream-origins.js';
import type {PreviousRun, Run} from './stream-run.js';

/** Where the next run of a stream starts. */
export type StreamTarget =
	| Readonly<{
			kind: 'backend';
			backend: BackendRecord;
			/** Copy of the KV cache to resume from. */
			kvCopy: KvCopy | undefined;
			/** Load that the run adds. */
			work: PlacementRequest;
	  }>
	/** The backend server that has room first. */
	| Readonly<{
			kind: 'queue';
			work: PlacementRequest;
			/** Where the run starts once a backend server has room. */
			place: (backend: BackendRecord) => StreamTarget;
	  }>
	/** Another entry, as this one reaches no backend server. */
	| Readonly<{kind: 'peer'; address: string}>
	/** No backend server takes the stream now. */
	| Readonly<{kind: 'none'}>
	/** Only other entries know where the stream began, and none takes it. */
	| Readonly<{kind: 'stranded'}>;

/** Where one stream may run, bound by its first event. */
export type StreamPlacement = Readonly<{
	/** Binds the stream to the run that delivered an event, if it is the first one. */
	bind: (run: Run) => void;
	/** Whether the stream may run only where it began. */
	isBound: () => boolean;
	choose: (
		previous: PreviousRun | undefined,
		hasEvents: boolean,
	) => StreamTarget;
	/**
	 * Sends a run's request; of a stream that is bound to a version, only the answer
	 * of the incarnation that registered is used.
	 */
	openExchange: (
		run: Run,
		request: ExchangeRequest,
		listener: ExchangeListener,
	) => Exchange;
	/** Chooses a backend server that keeps a copy of a run's KV cache. */
	chooseBackupTarget: (backend: BackendRecord) => BackendRecord | undefined;
	/** Decides about a bound stream that no backend server takes now. */
	decideUnplaced: () => UnplacedDecision;
}>;

/** Interval at which it is looked whether a doubt about a stream's version is over. */
const DOUBT_PAUSE_MS = 700;

/** Creates the placement of a stream that has not run here yet. */
export function createStreamPlacement(
	ctx: GatewayContext,
	req: AcceptedRequest,
	attempts: StreamAttempts,
): StreamPlacement {
	const {route, service, metadata, customer} = req;
	/** Service and software version that the stream is bound to by its first event. */
	let {origin} = req;
	/** Its first event came through another entry, so its origin is unknown here. */
	let isBegunAtPeer = false;
	let unplacedAt: number | undefined;
	/** When the version that began it was last found in doubt. */
	let doubtedAt = Number.NEGATIVE_INFINITY;

	const key = createStreamKey(customer, metadata.id);

	/** Whether the version that began it has come to be in doubt, or is not allowed any more. */
	const isOriginLost = (): boolean => {
		const own = ctx.origins.find(key);
		return (
			(own !== undefined && isDoubtful(ctx, own)) ||
			(origin !== undefined &&
				ctx.rollouts?.isAllowed(service.name, origin.softwareVersion) === false)
		);
	};

	const createRequest = (
		softwareVersion: string | undefined,
		excluded = attempts.listExcluded(),
		failedDataCentres = attempts.listFailedDataCentres(),
	): PlacementRequest => ({
		...createPlacementRequest(ctx, req, excluded, failedDataCentres),
		softwareVersion,
	});

	/** Leaves out backend servers that have just not shown which incarnation they are. */
	const excludeSilent = (request: PlacementRequest): PlacementRequest => ({
		...request,
		excluded: [
			...request.excluded,
			...(ctx.view.listInService().get(service.name) ?? [])
				.filter((backend) => ctx.incarnations.wasSilent(backend))
				.map(({id}) => id),
		],
	});

	const hasCandidate = ({excluded, softwareVersion}: PlacementRequest) =>
		ctx.view
			.listCandidates(service.name)
			.some(
				({record}) =>
					!excluded.includes(record.id) &&
					(softwareVersion === undefined ||
						readSoftwareVersion(record) === softwareVersion),
			);

	/** Limits a new stream to the first version of its roll-out that has servers. */
	const limitToVersion = (request: PlacementRequest): PlacementRequest => {
		const {softwareVersion, versions = []} = request;
		const first =
			versions.find((version) =>
				hasCandidate({...request, softwareVersion: version}),
			) ?? versions[0];
		return softwareVersion === undefined && first !== undefined
			? {...request, softwareVersion: first}
			: request;
	};

	/** Waits for room, at `preferred` servers if there are any. */
	const createQueueTarget = (
		request: PlacementRequest,
		preferred: PlacementRequest,
	): StreamTarget =>
		request.softwareVersion === undefined && request.versions?.length === 0
			? {kind: 'none'}
			: {
					kind: 'queue',
					work: limitToVersion(
						preferred === request || hasCandidate(preferred)
							? preferred
							: request,
					),
					place(backend) {
						unplacedAt = undefined;
						return isOriginLost()
							? {kind: 'none'}
							: {kind: 'backend', backend, kvCopy: undefined, work: request};
					},
				};

	const choosePeerTarget = (): StreamTarget | undefined => {
		const address = isBegunAtPeer
			? choosePeer(ctx, attempts.listExcluded())
			: chooseRelayPeer(ctx, req, attempts.listExcluded());
		if (address !== undefined) {
			return {kind: 'peer', address};
		}

		return isBegunAtPeer ? {kind: 'stranded'} : undefined;
	};

	return {
		bind(run) {
			if (origin !== undefined) {
				return;
			}

			if (run.isRelayed) {
				// The other entry knows and reports where the stream began.
				isBegunAtPeer = true;
				return;
			}

			origin = {
				service: service.name,
				softwareVersion: readSoftwareVersion(run.backend),
			};
			ctx.origins.record(key, origin, readResumableMs(req), {
				incarnation: createIncarnationKey(run.backend),
				at: ctx.clock.wall(),
			});
			if (origin.softwareVersion !== '') {
				void req.guard.settle(proveBeginning(ctx, run.backend, key));
			}
		},
		isBound: () => origin !== undefined,
		choose(previous, hasEvents) {
			if (isOriginLost() || ctx.clock.now() - doubtedAt < DOUBT_PAUSE_MS) {
				return {kind: 'none'};
			}

			const peer = choosePeerTarget();
			if (peer !== undefined) {
				return peer;
			}

			const request = createRequest(origin?.softwareVersion);
			const first = origin === undefined ? request : excludeSilent(request);
			const kvCopy = hasEvents ? previous?.kvCopy : undefined;
			const canWait = kvCopy === undefined && !previous?.shouldRetryWithoutCopy;
			if (canWait && ctx.admission?.isOn(service)) {
				return createQueueTarget(request, first);
			}

			const backend =
				kvCopy?.backend ??
				(previous?.shouldRetryWithoutCopy
					? previous.backend
					: (ctx.view.choose(service.name, first, ctx.random()) ??
						ctx.view.choose(service.name, request, ctx.random())));
			if (backend === undefined) {
				return {kind: 'none'};
			}

			unplacedAt = undefined;
			const work =
				kvCopy === undefined ? request : {...request, promptTokens: 0};
			return {kind: 'backend', backend, kvCopy, work};
		},
		openExchange(run, request, listener) {
			// Another version may serve before any of its servers has registered.
			const isUnchecked =
				run.isRelayed || (origin?.softwareVersion ?? '') === '';
			return isUnchecked
				? openExchange(request, listener)
				: openProvedExchange(
						ctx,
						{
							backend: run.backend,
							requestId: metadata.id,
							guard: req.guard,
							beginning: ctx.origins.find(key)?.beginning,
							onDoubt() {
								doubtedAt = ctx.clock.now();
							},
						},
						request,
						listener,
					);
		},
		chooseBackupTarget(backend) {
			const canRepeat = isRepeatable(route.kind, route.isResumable);
			if (service.engine?.canBackUp !== true || !canRepeat) {
				return undefined;
			}

			const request = createRequest(
				readSoftwareVersion(backend),
				[...attempts.listExcluded(), backend.id],
				[...attempts.listFailedDataCentres(), backend.dataCentre],
			);
			const {view, random, admission} = ctx;
			const target = view.chooseCopyTarget(service.name, request, random());
			return target !== undefined &&
				admission?.isOn(service) === true &&
				!hasCopyRoom(view.readLoad(target.id), request)
				? undefined
				: target;
		},
		decideUnplaced() {
			if (isOriginLost()) {
				return 'give-up';
			}

			const versions = ctx.view.countSoftwareVersions(service.name);
			const own = origin?.softwareVersion ?? '';
			unplacedAt ??= ctx.clock.now();
			return decideUnplaced({
				ready: versions.get(own) ?? 0,
				hasOtherVersions: [...versions.keys()].some(
					(version) => version !== own,
				),
				waitedMs: ctx.clock.now() - unplacedAt,
			});
		},
	};
}
