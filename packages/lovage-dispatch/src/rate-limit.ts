/** What a backend server says about its limit in an answer. */
export type LimitNotice =
	| Readonly<{kind: 'none'}>
	/** Requests a second that it takes from all instances together. */
	| Readonly<{kind: 'named'; perSecond: number}>
	| Readonly<{kind: 'malformed'; text: string}>;

/** What is known of the limit of one incarnation of a backend server. */
export type LimitStatement = Readonly<{
	/** Requests a second from all instances together; absent if it named none. */
	perSecond?: number;
	/** Time up to which the statement holds for certain, in monotonic milliseconds. */
	at: number;
}>;

/**
 * Applies an answer. An answer with a limit says so when it arrives; one without a
 * limit proves only that there was none when its request was sent, as another
 * answer may have overtaken it.
 */
export function applyLimitNotice(
	known: LimitStatement | undefined,
	notice: LimitNotice,
	{sentAt, now}: Readonly<{sentAt: number; now: number}>,
): LimitStatement | undefined {
	switch (notice.kind) {
		case 'malformed': {
			return known;
		}

		case 'named': {
			return keepNewest(known, {perSecond: notice.perSecond, at: now});
		}

		case 'none': {
			return known === undefined ? undefined : keepNewest(known, {at: sentAt});
		}
	}
}

/** Of two statements on the same incarnation, keeps the newer one. */
export function keepNewest(
	known: LimitStatement | undefined,
	other: LimitStatement,
): LimitStatement {
	return known === undefined || other.at > known.at ? other : known;
}
