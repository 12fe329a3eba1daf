import {Buffer} from 'node:buffer';
import {Result} from 'neverthrow';
import {
	isAlias,
	isCollection,
	isMap,
	isNode,
	isScalar,
	isSeq,
	LineCounter,
	parseDocument,
	type Document,
	type YAMLError,
} from 'yaml';
import {
	formatPath,
	type ConfigurationError,
	type ValuePath,
} from './configuration-error.js';

/** Maximum size of an inventory or rules file. */
export const MAX_FILE_BYTES = 8 * 1024 * 1024;

/** Limits alias expansion, so that a small file cannot exhaust the memory. */
const MAX_ALIASES = 100;

/** A parsed YAML text with the positions of its values. */
export type YamlSource = Readonly<{
	file: string;
	value: unknown;
	errors: readonly ConfigurationError[];
	/** False if the syntax is invalid; `value` must not be used then. */
	isReadable: boolean;
	/** Creates an error at a value, or at its nearest existing parent. */
	createError: (path: ValuePath, message: string) => ConfigurationError;
}>;

type Position = Readonly<{line: number; column: number}>;

const FILE_START: Position = {line: 1, column: 1};

function resolveNode(document: Document, node: unknown): unknown {
	return isAlias(node) ? node.resolve(document) : node;
}

function findChild(
	node: unknown,
	segment: string | number,
): {positionNode: unknown; value: unknown} | undefined {
	if (isSeq(node) && typeof segment === 'number') {
		const item = node.items[segment];
		return item === undefined ? undefined : {positionNode: item, value: item};
	}

	if (!isMap(node)) {
		return undefined;
	}

	const pair = node.items.find(
		({key}) => isScalar(key) && String(key.value) === String(segment),
	);
	return pair && {positionNode: pair.key, value: pair.value};
}

/** Returns the offset of the value at a path, or of its nearest existing parent. */
function findOffset(document: Document, path: ValuePath): number {
	let node: unknown = document.contents;
	let offset = 0;
	for (const segment of path) {
		const child = findChild(resolveNode(document, node), segment);
		if (child === undefined) {
			break;
		}

		offset = isNode(child.positionNode)
			? (child.positionNode.range?.[0] ?? offset)
			: offset;
		node = child.value;
	}

	return offset;
}

function getPosition(counter: LineCounter, offset: number): Position {
	const {line, col} = counter.linePos(offset);
	return line === 0 ? FILE_START : {line, column: col};
}

function describeSyntaxError(err: YAMLError): string {
	return err.code === 'DUPLICATE_KEY'
		? 'duplicate key in a mapping'
		: `is not valid YAML: ${err.message.replaceAll(/\s+/g, ' ')}`;
}

function createUnreadableSource(file: string, message: string): YamlSource {
	const createError = (path: ValuePath, text: string) => ({
		file,
		...FILE_START,
		path: formatPath(path),
		message: text,
	});
	return {
		file,
		value: undefined,
		errors: [createError([], message)],
		isReadable: false,
		createError,
	};
}

function createSource(
	file: string,
	document: Document,
	counter: LineCounter,
): YamlSource {
	const createError = (path: ValuePath, message: string) => ({
		file,
		...getPosition(counter, findOffset(document, path)),
		path: formatPath(path),
		message,
	});
	const convert = Result.fromThrowable(
		() => document.toJS({maxAliasCount: MAX_ALIASES}) as unknown,
		(err) => (err instanceof Error ? err.message : String(err)),
	);
	const errors = document.errors.map((err) => ({
		file,
		...getPosition(counter, err.pos[0]),
		path: '',
		message: describeSyntaxError(err),
	}));
	const hasBrokenSyntax = document.errors.some(
		({code}) => code !== 'DUPLICATE_KEY',
	);
	return convert().match(
		(value) => ({
			file,
			value,
			errors,
			isReadable: !hasBrokenSyntax && isCollection(document.contents),
			createError,
		}),
		(message) =>
			createUnreadableSource(file, `cannot be read: ${message.toLowerCase()}`),
	);
}

/** Parses a YAML text; syntax errors are returned in `errors`. */
export function parseYamlSource(file: string, text: string): YamlSource {
	if (Buffer.byteLength(text) > MAX_FILE_BYTES) {
		return createUnreadableSource(
			file,
			`is larger than ${MAX_FILE_BYTES} bytes`,
		);
	}

	const counter = new LineCounter();
	const document = parseDocument(text, {
		lineCounter: counter,
		prettyErrors: false,
	});
	const source = createSource(file, document, counter);
	const isEmpty = source.errors.length === 0 && !source.isReadable;
	return isEmpty
		? createUnreadableSource(file, 'must be a mapping of keys to values')
		: source;
}
