export type {Clock} from './clock.js';
export {createClock} from './clock.js';
export type {DaemonSpec, RunningDaemon} from './daemon.js';
export {runDaemon} from './daemon.js';
export type {HttpServer, ListenError} from './http-server.js';
export {serveHttp} from './http-server.js';
export type {LogContext, Logger, LogLevel} from './logs.js';
export {createLogger, installLogWriter} from './logs.js';
export type {Metrics, MetricsSettings} from './metrics.js';
export {createMetrics, metricsSettingsSchema} from './metrics.js';
export {EXIT_CODES, waitForStop} from './program.js';
export type {SettingsError} from './settings.js';
export {loadSettings, parseSettings} from './settings.js';
export type {
	ChildSpec,
	PartError,
	RestartPolicy,
	Running,
	Supervisor,
	SupervisorOptions,
} from './supervisor.js';
export {startSupervisor} from './supervisor.js';
export {createTimerPart} from './timer-part.js';
export type {PulledMetrics} from './pulled-metrics.js';
export {createPulledMetrics} from './pulled-metrics.js';
export {createBoundedLogger, installStdoutLogWriter} from './stdout-log.js';
export type {JsonAnswer, JsonCall, JsonHandler} from './json-server.js';
export {createJsonServer} from './json-server.js';
export type {PeerClient} from './peer-client.js';
export {createPeerClient} from './peer-client.js';
