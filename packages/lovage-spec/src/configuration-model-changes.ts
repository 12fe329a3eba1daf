import type {ApplyCommand} from '@lovagevalve/control-role';
import {type Configuration, configurationSchema} from '@lovagevalve/inventory';

const KEY_HASH = `sha256:${'0'.repeat(64)}`;

/** Creates a minimal configuration with the given name. */
export function createConfiguration(name: string): Configuration {
	return configurationSchema.parse({
		inventory: {
			name,
			dataCentres: [{id: 'dc', region: 'r'}],
			services: [{id: 's', kind: 'plain', workers: []}],
			customers: [{id: 'c', keyHash: KEY_HASH}],
			operators: [{id: 'o', keyHash: KEY_HASH}],
		},
		rules: {},
	});
}

/**
 * Creates a change whose operation id and content are derived from its name.
 */
export function createApply(name: string, baseVersion: number): ApplyCommand {
	return {
		kind: 'apply',
		baseVersion,
		operationId: name,
		operator: 'o',
		keyHash: KEY_HASH,
		isBootstrap: true,
		configuration: createConfiguration(name),
	};
}
