/** Time and random number of the event that is being applied. */
export type StepContext = Readonly<{now: number; random: number}>;
