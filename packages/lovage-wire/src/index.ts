export type {
	Announcement,
	AnnouncementResponse,
	BackendCall,
	EngineStart,
	Order,
} from './backend-api.js';
export {
	announcementSchema,
	backendCallSchema,
	cacheEventSchema,
	engineDoneSchema,
	engineStartSchema,
	engineStatusSchema,
	engineTokensSchema,
	loadSchema,
	orderSchema,
} from './backend-api.js';
export type {
	ClaimResponse,
	ClaimKey,
	SettleRequest,
	StoredResponse,
} from './claim-api.js';
export {storedResponseSchema} from './claim-api.js';
export type {
	AddressesResponse,
	CallResponse,
	CallRequest,
	DoneEvent,
	GenerationRequest,
	TokensEvent,
} from './caller-api.js';
export {callRequestSchema, generationRequestSchema} from './caller-api.js';
export type {
	ControlClient,
	EntryPeerClient,
	RpcError,
	RpcPool,
} from './client.js';
export {
	callRpc,
	createControlClient,
	createDeadline,
	createEntryPeerClient,
	createRpcPool,
	RPC_PATH,
} from './client.js';
export type {
	ApplyResponse,
	ApplyRequest,
	ConfigurationResponse,
	ControlHandlers,
	ControlRouter,
	ControlStatus,
	DeathsResponse,
	DeathsReport,
	EntryInfo,
	InitialiseRequest,
	JoinRequest,
	ProgressResponse,
	QuarantineView,
	RenewResponse,
	RenewRequest,
} from './control-api.js';
export {createControlRouter, entryInfoSchema} from './control-api.js';
export type {
	EntryPeerHandlers,
	EntryPeerRouter,
	GenerationLocation,
	LocationLookupResponse,
} from './entry-peer-api.js';
export {createEntryPeerRouter} from './entry-peer-api.js';
export {digestPromptPrefix} from './prefix.js';
export type {Outcome, Problem, ProblemType} from './problem.js';
export {createProblem, isProblem, PROBLEM_CONTENT_TYPE} from './problem.js';
export type {Redirect} from './redirect.js';
export {addRpcRoutes} from './rpc-routes.js';
