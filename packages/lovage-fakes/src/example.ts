import {readFileSync} from 'node:fs';
import {configurationSchema, type Configuration} from '@lovagevalve/inventory';
import {parse} from 'yaml';
import {z} from 'zod';

const EXAMPLES_URL = new URL('../../../examples/', import.meta.url);

/** Example deployments in the repository. */
export type ExampleName = 'verselight' | 'cooperativa';

const keysSchema = z.strictObject({
	customers: z.record(z.string(), z.string()),
	operators: z.record(z.string(), z.string()),
});

/** Example deployment with its demo keys. */
export type Example = Readonly<{
	configuration: Configuration;
	/** API keys by customer id. */
	customerKeys: Readonly<Record<string, string>>;
	operator: Readonly<{id: string; key: string}>;
}>;

function readYaml(name: ExampleName, file: string): unknown {
	return parse(readFileSync(new URL(`${name}/${file}`, EXAMPLES_URL), 'utf8'));
}

/** Loads an example; throws when it does not match the schema. */
export function loadExample(name: ExampleName): Example {
	const keys = keysSchema.parse(readYaml(name, 'keys.demo.yaml'));
	const [operator] = Object.entries(keys.operators);
	return {
		configuration: configurationSchema.parse({
			inventory: readYaml(name, 'inventory.yaml'),
			rules: readYaml(name, 'rules.yaml'),
		}),
		customerKeys: keys.customers,
		operator: {id: operator![0], key: operator![1]},
	};
}
