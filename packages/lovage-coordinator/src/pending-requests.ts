/** Outcome of a change. */
export type ProposeOutcome = 'committed' | 'not-leader' | 'unknown';

type PendingProposal = Readonly<{
	resolve: (outcome: ProposeOutcome) => void;
	/** Entry that it became, once that is known. */
	entryIndex: number | undefined;
	entryTerm: number;
}>;

/** Changes and reads that wait for the replicated log. */
export type PendingRequests = Readonly<{
	/** Waits for a change; `begin` gets the name that the log knows it by. */
	awaitProposal: (begin: (proposal: string) => void) => Promise<ProposeOutcome>;
	/** Waits for a read to be confirmed. */
	awaitRead: (begin: (read: string) => void) => Promise<boolean>;
	/** A change became an entry, which may still be lost. */
	accept: (proposal: string, index: number, term: number) => void;
	refuse: (proposal: string) => void;
	/** The entry at an index was applied, with the term that wrote it. */
	settleApplied: (index: number, term: number) => void;
	settleRead: (read: string, isConfirmed: boolean) => void;
	/** The outcome of everything that waits is unknown. */
	abandonAll: () => void;
}>;

/** A caller of the control interface goes on to another instance after a second. */
const REQUEST_TIMEOUT_MS = 900;

/** Creates the list of what waits; a request that takes too long counts as unknown. */
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
		async awaitProposal(begin) {
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
				begin(proposal);
			});
		},
		async awaitRead(begin) {
			return new Promise((resolve) => {
				const read = String(nextRequestId++);
				const timer = setTimeout(() => {
					settleRead(read, false);
				}, REQUEST_TIMEOUT_MS);
				reads.set(read, (isConfirmed) => {
					clearTimeout(timer);
					resolve(isConfirmed);
				});
				begin(read);
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
