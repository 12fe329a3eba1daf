import type {Order} from '@lovagevalve/wire';
import {err, ok, type Result} from 'neverthrow';

/** A loaded model with its adapters, as announced. */
export type LoadedModel = Readonly<{
	id: string;
	version: string;
	adapters: readonly string[];
}>;

/** State of a backend server that orders change. */
export type BackendState = Readonly<{
	models: readonly LoadedModel[];
	role?: string;
	/** Highest fencing token seen so far. */
	fencing: number;
}>;

function isModel(model: LoadedModel, id: string, version: string): boolean {
	return model.id === id && model.version === version;
}

function executeOrder(
	state: BackendState,
	{action, fencing}: Order,
): BackendState {
	const next = {...state, fencing: Math.max(state.fencing, fencing)};
	switch (action.kind) {
		case 'load-model': {
			const {model: id, version, adapters} = action;
			const others = next.models.filter(
				(loaded) => !isModel(loaded, id, version),
			);
			return {...next, models: [...others, {id, version, adapters}]};
		}

		case 'unload-model': {
			const {model: id, version} = action;
			const models = next.models.filter((held) => !isModel(held, id, version));
			return {...next, models};
		}

		case 'set-role': {
			return {...next, role: action.role};
		}
	}
}

/** Applies an order; with `checksFencing`, rejects an outdated fencing token. */
export function applyOrder(
	state: BackendState,
	order: Order,
	checksFencing: boolean,
): Result<BackendState, 'old-fencing'> {
	return checksFencing && order.fencing < state.fencing
		? err('old-fencing')
		: ok(executeOrder(state, order));
}
