import {
	type Configuration,
	createRouteTable,
	type RouteTable,
} from '@lovagevalve/routing';
import type {Logger} from '@lovagevalve/runtime';
import type {Result} from 'neverthrow';

/** The configuration that an entry serves by. */
export type ConfigurationInForce = Readonly<{
	/** Its routes; undefined before the first configuration. */
	readRouteTable: () => RouteTable | undefined;
	/** Its version; 0 before the first configuration. */
	readVersion: () => number;
	/** Puts the configuration of a text into force if it is newer. */
	apply: (text: string) => void;
}>;

/** Dependencies of the configuration in force. */
export type ConfigurationInForceOptions = Readonly<{
	log: Logger;
	/** Decodes the text of a committed configuration. */
	decodeConfiguration: (text: string) => Result<Configuration, string>;
	/** Called when another configuration is in force. */
	onChange: () => void;
}>;

/** Creates the state of an entry that has received no configuration. */
export function createConfigurationInForce({
	log,
	decodeConfiguration,
	onChange,
}: ConfigurationInForceOptions): ConfigurationInForce {
	let routeTable: RouteTable | undefined;

	const readVersion = (): number => routeTable?.configuration.version ?? 0;

	return {
		readRouteTable: () => routeTable,
		readVersion,
		apply(text) {
			decodeConfiguration(text).match(
				(configuration) => {
					const {version, routes} = configuration;
					const before = readVersion();
					if (version <= before) {
						return;
					}

					routeTable = createRouteTable(configuration);
					onChange();
					log.info('A configuration is in force.', {
						version,
						before,
						routes: routes.length,
					});
				},
				(reason) => {
					log.error('Failed to decode a configuration.', {reason});
				},
			);
		},
	};
}
