/** Identity of a resumed stream and the services that may run it. */
export type OriginQuery = Readonly<{
	key?: string;
	services: readonly string[];
}>;
