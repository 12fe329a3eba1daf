/** What a backend server is told to do. */
export type OrderAction =
	| {kind: 'load-model'; model: string; version: string; adapters: string[]}
	| {kind: 'unload-model'; model: string; version: string};

/** One order of the current holder. */
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
	/** When the state changed last. */
	at: number;
}>;

/** Bounds of the orders, in milliseconds. */
export type OrderSettings = Readonly<{
	/** A holder gives no order later than this after a confirmed read began. */
	holderLeaseMs: number;
	/** An order that isn't delivered by then is given up by the sender. */
	deliveryTimeoutMs: number;
	/** A load that isn't reported by then is given again. */
	loadTimeoutMs: number;
	/** A refused order is given again after this. */
	retryAfterMs: number;
	driftShare: number;
}>;

/** Orders of a leader; its right to give them is in the log. */
export type OrderTracker = Readonly<{
	/** Name under which this leader asks for the right. */
	holder: string;
	/** When this replica became leader. */
	since: number;
	/** When the last read that the quorum confirmed began. */
	confirmedAt: number;
	nextOrder: number;
	entries: readonly OrderEntry[];
}>;
