/**
 * Outcome of a proposed change. `unknown` means that it may or may not be
 * committed.
 */
export type ProposeOutcome = 'committed' | 'not-leader' | 'unknown';

type PendingProposal = Readonly<{
	resolve: (outcome: ProposeOutcome) => void;
	/** Index of its log entry; undefined until the leader has accepted it. */
	entryIndex: number | undefined;
	entryTerm: number;
}>;

/** Proposals and reads that wait for the replicated log. */
export type PendingRequests = Readonly<{
	/** Waits for a proposal, which `submit` starts under the given id. */
	awaitProposal: (
		submit: (proposal: string) => void,
	) => Promise<ProposeOutcome>;
	/**
	 * Waits for the confirmation of a read, which `submit` starts under the given
	 * id.
	 */
	awaitRead: (submit: (read: string) => void) => Promise<boolean>;
	/** Records the log entry of a proposal, which may still be overwritten. */
	accept: (proposal: string, index: number, term: number) => void;
	refuse: (proposal: string) => void;
	/**
	 * Settles the proposals at the index of an applied entry; they are committed
	 * only if the term matches.
	 */
	settleApplied: (index: number, term: number) => void;
	settleRead: (read: string, isConfirmed: boolean) => void;
	/** Settles all pending requests with an unknown outcome. */
	abandonAll: () => void;
}>;

/**
 * Less than the second after which a caller of the control interface retries at
 * another instance.
 */
const REQUEST_TIMEOUT_MS = 900;

/**
 * Creates an empty set of pending requests; a request that times out has an
 * unknown outcome.
 */
export function createPendingRequests(): PendingRequests {
	const proposals = new Map<string, PendingProposal>();
	const reads = new Map<string, (isConfirmed: boolean) => void>();
	let nextRequestId = 1;

	const settleProposal = (proposal: string, outcome: ProposeOutcome): void => {
		proposals.get(proposal)?.resolve(outcome);
		proposals.delete(proposal);
	};

	const settleRead = (read: string, isConfirmed: boolean): void => {
		reads.get(read)?.(isConfirmed);
		reads.delete(read);
	};

	return {
		async awaitProposal(submit) {
			return new Promise((resolve) => {
				const proposal = String(nextRequestId++);
				const timer = setTimeout(() => {
					settleProposal(proposal, 'unknown');
				}, REQUEST_TIMEOUT_MS);
				proposals.set(proposal, {
					resolve(outcome) {
						clearTimeout(timer);
						resolve(outcome);
					},
					entryIndex: undefined,
					entryTerm: 0,
				});
				submit(proposal);
			});
		},
		async awaitRead(submit) {
			return new Promise((resolve) => {
				const read = String(nextRequestId++);
				const timer = setTimeout(() => {
					settleRead(read, false);
				}, REQUEST_TIMEOUT_MS);
				reads.set(read, (isConfirmed) => {
					clearTimeout(timer);
					resolve(isConfirmed);
				});
				submit(read);
			});
		},
		accept(proposal, index, term) {
			const waiting = proposals.get(proposal);
			if (waiting !== undefined) {
				proposals.set(proposal, {
					...waiting,
					entryIndex: index,
					entryTerm: term,
				});
			}
		},
		refuse(proposal) {
			settleProposal(proposal, 'not-leader');
		},
		settleApplied(index, term) {
			[...proposals]
				.filter(([, waiting]) => waiting.entryIndex === index)
				.forEach(([proposal, waiting]) => {
					settleProposal(
						proposal,
						waiting.entryTerm === term ? 'committed' : 'unknown',
					);
				});
		},
		settleRead,
		abandonAll() {
			[...proposals.keys()].forEach((proposal) => {
				settleProposal(proposal, 'unknown');
			});
			[...reads.keys()].forEach((read) => {
				settleRead(read, false);
			});
		},
	};
}
