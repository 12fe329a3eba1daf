/** Action that an order asks of a backend server. */
export type OrderAction =
	| {kind: 'load-model'; model: string; version: string; adapters: string[]}
	| {kind: 'unload-model'; model: string; version: string};

/** An order to a backend server and its progress. */
export type OrderEntry = Readonly<{
	order: string;
	backend: string;
	service: string;
	address: string;
	incarnation: number;
	checksFencing: boolean;
	action: OrderAction;
	state: 'pending' | 'sent' | 'done' | 'refused';
	detail: string;
	/** Time of the last state change. */
	at: number;
}>;

/** Time limits for orders, in milliseconds. */
export type OrderSettings = Readonly<{
	/** How long after the start of a confirmed read the holder may send orders. */
	holderLeaseMs: number;
	/** The sender abandons an order that is not delivered within this time. */
	deliveryTimeoutMs: number;
	/** A sent order fails if no report shows its result within this time. */
	loadTimeoutMs: number;
	/** Delay before a backend server gets a new order after a failed one. */
	retryAfterMs: number;
	/** Maximum relative drift between two clocks. */
	driftShare: number;
}>;

/** Orders of a leader; the grant to send them is in the replicated log. */
export type OrderTracker = Readonly<{
	/** Name of this leader in the order grant: replica and term. */
	holder: string;
	/** Time at which this replica became leader. */
	since: number;
	/** Start time of the last read that the quorum confirmed. */
	confirmedAt: number;
	nextOrder: number;
	entries: readonly OrderEntry[];
}>;
