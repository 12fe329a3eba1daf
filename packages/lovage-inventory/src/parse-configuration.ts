import {err, ok, type Result} from 'neverthrow';
import type {z} from 'zod';
import {checkInventory} from './check-inventory.js';
import {checkRules} from './check-rules.js';
import {
	compareConfigurationErrors,
	type ConfigurationError,
} from './configuration-error.js';
import {
	inventorySchema,
	rulesSchema,
	type Configuration,
} from './configuration.js';
import {explainIssue, type Finding} from './explain-issue.js';
import {inventoryOutlineSchema, rulesOutlineSchema} from './outline.js';
import {parseYamlSource, type YamlSource} from './yaml-source.js';

/** YAML texts of an inventory and its rules, with the file names shown in errors. */
export type ConfigurationTexts = Readonly<{
	inventoryText: string;
	rulesText: string;
	names: Readonly<{inventory: string; rules: string}>;
}>;

function checkSchema<T extends z.ZodType>(
	source: YamlSource,
	schema: T,
): {data?: z.output<T>; findings: readonly Finding[]} {
	const parsed = schema.safeParse(source.value, {reportInput: true});
	return parsed.success
		? {data: parsed.data, findings: []}
		: {findings: parsed.error.issues.flatMap(explainIssue)};
}

function createErrors(
	source: YamlSource,
	findings: readonly Finding[],
): readonly ConfigurationError[] {
	return findings.map(({path, message}) => source.createError(path, message));
}

function listErrors(
	source: YamlSource,
	findings: readonly Finding[],
): readonly ConfigurationError[] {
	return source.isReadable
		? [...source.errors, ...createErrors(source, findings)]
		: source.errors;
}

function getOutline<T extends z.ZodType>(
	source: YamlSource,
	schema: T,
): z.output<T> | undefined {
	return source.isReadable ? schema.parse(source.value) : undefined;
}

/** Parses and validates an inventory and its rules; reports all errors at once. */
export function parseConfiguration(
	texts: ConfigurationTexts,
): Result<Configuration, readonly ConfigurationError[]> {
	const inventory = parseYamlSource(texts.names.inventory, texts.inventoryText);
	const rules = parseYamlSource(texts.names.rules, texts.rulesText);
	const inventoryOutline = getOutline(inventory, inventoryOutlineSchema);
	const rulesOutline = getOutline(rules, rulesOutlineSchema);
	const checkedInventory = checkSchema(inventory, inventorySchema);
	const checkedRules = checkSchema(rules, rulesSchema);
	const errors = [
		...listErrors(inventory, [
			...checkedInventory.findings,
			...(inventoryOutline ? checkInventory(inventoryOutline) : []),
		]),
		...listErrors(rules, [
			...checkedRules.findings,
			...(rulesOutline ? checkRules(rulesOutline, inventoryOutline) : []),
		]),
	];
	return errors.length === 0 && checkedInventory.data && checkedRules.data
		? ok({inventory: checkedInventory.data, rules: checkedRules.data})
		: err(errors.toSorted(compareConfigurationErrors));
}
