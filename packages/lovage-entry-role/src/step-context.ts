/** Time and randomness of one event. */
export type StepContext = Readonly<{now: number; random: number}>;
