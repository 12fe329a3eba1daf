/** Time and randomness of one event. */
export type Moment = Readonly<{now: number; random: number}>;
