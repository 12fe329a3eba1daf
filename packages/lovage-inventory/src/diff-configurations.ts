import type {Configuration} from './configuration.js';
import {listItems, type Fields, type Item, type Subject} from './list-items.js';

/** One difference between two configurations. */
export type Change =
	| Readonly<{kind: 'added'; subject: Subject; id: string; fields: Fields}>
	| Readonly<{kind: 'removed'; subject: Subject; id: string}>
	| Readonly<{
			kind: 'changed';
			subject: Subject;
			id: string;
			field: string;
			/** Absent if the field was not set before. */
			from?: string;
			/** Absent if the field is no longer set. */
			to?: string;
	  }>;

function indexItems(cfg: Configuration | undefined): ReadonlyMap<string, Item> {
	const items = cfg === undefined ? [] : listItems(cfg);
	return new Map(items.map((item) => [`${item.subject} ${item.id}`, item]));
}

function diffFields(before: Item, after: Item): readonly Change[] {
	const {subject, id} = after;
	const names = new Set([
		...Object.keys(before.fields),
		...Object.keys(after.fields),
	]);
	return [...names].flatMap((field) => {
		const from = before.fields[field];
		const to = after.fields[field];
		return from === to
			? []
			: [{kind: 'changed', subject, id, field, from, to} as const];
	});
}

/** Lists the changes from `before` to `after`; undefined is an empty configuration. */
export function diffConfigurations(
	before: Configuration | undefined,
	after: Configuration | undefined,
): readonly Change[] {
	const itemsBefore = indexItems(before);
	const itemsAfter = indexItems(after);
	const removed = [...itemsBefore].flatMap(([key, {subject, id}]) =>
		itemsAfter.has(key) ? [] : [{kind: 'removed', subject, id} as const],
	);
	const addedOrChanged = [...itemsAfter].flatMap(
		([key, item]): readonly Change[] => {
			const previous = itemsBefore.get(key);
			return previous === undefined
				? [{kind: 'added', ...item}]
				: diffFields(previous, item);
		},
	);
	return [...removed, ...addedOrChanged];
}

/** Formats a change as one line. */
export function formatChange(change: Change): string {
	const name = `${change.subject} ${change.id}`;
	switch (change.kind) {
		case 'added': {
			const fields = Object.entries(change.fields)
				.map(([field, value]) => `${field}=${value}`)
				.join(' ');
			return `+ ${name} ${fields}`.trimEnd();
		}

		case 'removed': {
			return `- ${name}`;
		}

		case 'changed': {
			const from = change.from ?? '(unset)';
			return `~ ${name}: ${change.field} ${from} -> ${change.to ?? '(unset)'}`;
		}
	}
}
