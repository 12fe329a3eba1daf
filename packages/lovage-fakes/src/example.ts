import {readFileSync} from 'node:fs';
import {configurationSchema, type Configuration} from '@lovagevalve/inventory';
import {parse} from 'yaml';
import {z} from 'zod';

const EXAMPLES_URL = new URL('../../../examples/', import.meta.url);

/** The deployments that the repository holds as examples. */
export type ExampleName = 'verselight' | 'cooperativa';

const keysSchema = z.strictObject({
	customers: z.record(z.string(), z.string()),
	operators: z.record(z.string(), z.string()),
});

/** A deployment with the keys of its demo. */
export type Example = Readonly<{
	configuration: Configuration;
	/** Keys by customer. */
	customerKeys: Readonly<Record<string, string>>;
	operator: Readonly<{id: string; key: string}>;
}>;

function readYaml(name: ExampleName, file: string): unknown {
	return parse(readFileSync(new URL(`${name}/${file}`, EXAMPLES_URL), 'utf8'));
}

/** Reads an example; fails when it does not fit the schema. */
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
