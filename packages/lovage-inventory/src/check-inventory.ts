import type {Finding} from './explain-issue.js';
import {findDuplicates, type UniqueValue} from './find-duplicates.js';
import type {InventoryOutline} from './outline.js';

type ServiceOutline = InventoryOutline['services'][number];
type KeyHolderOutline = InventoryOutline['customers'][number];

function listIds(
	items: ReadonlyArray<{id?: string | undefined}>,
	...parent: Array<string | number>
): readonly UniqueValue[] {
	return items.map(({id}, i) => ({value: id, path: [...parent, i, 'id']}));
}

function listKeyHashes(
	items: readonly KeyHolderOutline[],
	parent: string,
): readonly UniqueValue[] {
	return items.map(({keyHash}, i) => ({
		value: keyHash,
		path: [parent, i, 'keyHash'],
	}));
}

function checkModels(service: ServiceOutline, index: number): Finding[] {
	const path = ['services', index, 'models'];
	if (service.kind === 'engine' && service.models.length === 0) {
		return [{path, message: 'an engine service must have at least one model'}];
	}

	return service.kind === 'plain' && service.models.length > 0
		? [{path, message: 'a plain service must not have models'}]
		: [];
}

function checkDataCentres(
	service: ServiceOutline,
	index: number,
	knownDataCentres: ReadonlySet<string | undefined>,
): Finding[] {
	return service.workers.flatMap(({dataCentre}, i) =>
		dataCentre === undefined || knownDataCentres.has(dataCentre)
			? []
			: [
					{
						path: ['services', index, 'workers', i, 'dataCentre'],
						message: `data centre "${dataCentre}" is not in dataCentres`,
					},
				],
	);
}

function checkService(
	service: ServiceOutline,
	index: number,
	knownDataCentres: ReadonlySet<string | undefined>,
): readonly Finding[] {
	return [
		...checkModels(service, index),
		...checkDataCentres(service, index, knownDataCentres),
		...findDuplicates(
			listIds(service.models, 'services', index, 'models'),
			(id) => `duplicate model "${id}" in this service`,
		),
	];
}

/** Checks what the schema cannot express: references and uniqueness. */
export function checkInventory(inventory: InventoryOutline): Finding[] {
	const {dataCentres, services, customers, operators} = inventory;
	const knownDataCentres = new Set(dataCentres.map(({id}) => id));
	const workers = services.flatMap((service, i) =>
		listIds(service.workers, 'services', i, 'workers'),
	);
	return [
		...services.flatMap((service, i) =>
			checkService(service, i, knownDataCentres),
		),
		...findDuplicates(
			listIds(dataCentres, 'dataCentres'),
			(id) => `duplicate data centre "${id}"`,
		),
		...findDuplicates(
			listIds(services, 'services'),
			(id) => `duplicate service "${id}"`,
		),
		...findDuplicates(workers, (id) => `duplicate worker "${id}"`),
		...findDuplicates(
			listIds(customers, 'customers'),
			(id) => `duplicate customer "${id}"`,
		),
		...findDuplicates(
			listIds(operators, 'operators'),
			(id) => `duplicate operator "${id}"`,
		),
		...findDuplicates(
			[
				...listKeyHashes(customers, 'customers'),
				...listKeyHashes(operators, 'operators'),
			],
			() => 'another customer or operator has the same key',
		),
	];
}
