export type {Clock} from './clock.js';
export {createClock} from './clock.js';
export {startDeadline} from './deadline.js';
export type {DaemonSpec, RunningDaemon} from './daemon.js';
export {runDaemon} from './daemon.js';
export type {HttpServer, ListenError} from './http-server.js';
export {serveHttp} from './http-server.js';
export type {LogContext, Logger, LogLevel} from './logs.js';
export {createLogger, installLogWriter} from './logs.js';
export type {Metrics, MetricsSettings} from './metrics.js';
export {createMetrics, metricsSettingsSchema} from './metrics.js';
export {describeError, logProcessEnd} from './process-end.js';
export {EXIT_CODES, waitForShutdown} from './program.js';
export type {SettingsError} from './settings.js';
export {loadSettings, parseSettings} from './settings.js';
export type {
	ChildSpec,
	ChildError,
	RestartPolicy,
	RunningChild,
	Supervisor,
	SupervisorOptions,
} from './supervisor.js';
export {startSupervisor} from './supervisor.js';
export {createTimerChild} from './timer-child.js';
export type {PrometheusMetrics} from './prometheus-metrics.js';
export {createPrometheusMetrics} from './prometheus-metrics.js';
export {createRateLimitedLogger, installStdoutLogWriter} from './stdout-log.js';
export type {StdoutLogWriter} from './stdout-log.js';
export type {
	JsonResponse,
	JsonRequest,
	JsonHandler,
	JsonServerOptions,
} from './json-server.js';
export {createJsonServer} from './json-server.js';
export {
	hasTooManyValues,
	MAX_CONFIGURATION_BYTES,
	MAX_JSON_VALUES,
	MAX_MESSAGE_BYTES,
} from './json-bounds.js';
export type {PeerClient} from './peer-client.js';
export {createPeerClient} from './peer-client.js';
export {decodePathSegment, parseRequestTarget} from './request-target.js';
export type {RequestTarget} from './request-target.js';
export type {HostPort} from './address.js';
export {isAddress, isPort, parseHostPort} from './address.js';
export {isHeaderText} from './header-text.js';
export type {JsonObject} from './json.js';
export {
	isAbsent,
	isCount,
	isFigure,
	isJsonObject,
	isListOf,
	isNonEmptyText,
	isRecordOf,
	parseJson,
	serializeJson,
} from './json.js';
export {runContained} from './contain.js';
export type {
	BufferAccount,
	BufferBudget,
	BufferBudgetOptions,
	BufferHolder,
} from './buffer-budget.js';
export {createBufferBudget} from './buffer-budget.js';
export {openExchangeAccount} from './exchange-accounts.js';
export type {BufferDecision, BufferSource, BufferUse} from './memory-budget.js';
export {computeBufferCapacity, decideBuffering} from './memory-budget.js';
export type {ByteCollector, CollectOutcome} from './byte-collector.js';
export {createByteCollector} from './byte-collector.js';
export {type ChunkBudget, takeSmallChunks} from './chunk-budget.js';
export {
	createChunkCount,
	createChunkLease,
	isFragmented,
} from './fragmentation.js';
export type {BodyRefusal, RequestBody} from './request-body.js';
export {discardRest, endWhenRead, readRequestBody} from './request-body.js';
export {boundAnswerHead} from './answer-head-bounds.js';
export {guardSocket} from './guard-socket.js';
export type {
	ConnectionDecision,
	ConnectionUse,
	ListenerName,
} from './connection-budget.js';
export {
	computeDescriptorLimit,
	countSurplusIdle,
	decideConnection,
} from './connection-budget.js';
export type {
	ListenerConnections,
	ListenerConnectionsOptions,
} from './listener-connections.js';
export {createListenerConnections} from './listener-connections.js';
export type {ExchangeTimes} from './exchange-times.js';
export {
	boundUnreadResponses,
	createBodilessServer,
	createTimedServer,
	DEFAULT_EXCHANGE_TIMES,
} from './exchange-times.js';
export {createInterimBound} from './interim-bound.js';
export {readBounded} from './read-bounded.js';
export {watchUsage} from './usage-watch.js';
