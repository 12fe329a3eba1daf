import {
	type BackendLoad,
	type BackendRecord,
	type Candidate,
	chooseBackend,
	type PlacementRequest,
} from '@lovagevalve/dispatch';
import type {BrittleRoom} from './brittle-room.js';
import type {NamedLimits} from './named-limits.js';
import type {SpeedReader} from './server-speeds.js';

/** What an entry knows of the backend servers among which it chooses. */
export type ChoiceSources = Readonly<{
	/** Backend servers of a service that may get requests, of one software version if named. */
	listOpen: (
		service: string,
		softwareVersion?: string,
	) => readonly BackendRecord[];
	/** Whether a backend server registered or responded recently. */
	hasRecentContact: (backend: BackendRecord) => boolean;
	/** Whether this entry avoids a backend server for what it met itself. */
	isAvoidedHere: (id: string) => boolean;
	/** Ids of the backend servers of a service that are avoided for what others met. */
	listAvoidedAsTold: (service: string) => ReadonlySet<string>;
	readOwnLoad: (id: string) => BackendLoad;
	readOthersLoad: (id: string) => BackendLoad;
	/** Reads the learned speeds of a service; undefined where they are alike. */
	findSpeedReader: (service: string) => SpeedReader | undefined;
	limits: NamedLimits;
	room: BrittleRoom;
}>;

/** Chooses a backend server of a service for a request; undefined if none can take it. */
export type ChooseBackend = (
	service: string,
	request: PlacementRequest,
	random: number,
) => BackendRecord | undefined;

/** A backend server that may get requests, with its load. */
export type EngineCandidate = Readonly<{
	record: BackendRecord;
	candidate: Candidate;
	/** It named a limit in an answer. */
	isLimited: boolean;
}>;

/** The choice of backend servers for requests. */
export type BackendChoice = Readonly<{
	choose: ChooseBackend;
	/** Chooses a backend server that only keeps a copy of another one's run. */
	chooseCopyTarget: ChooseBackend;
	/** Backend servers of a service that may get requests. */
	listCandidates: (service: string) => readonly EngineCandidate[];
}>;

/** Creates the choice among the backend servers that an entry knows. */
export function createBackendChoice({
	listOpen,
	hasRecentContact,
	isAvoidedHere,
	listAvoidedAsTold,
	readOwnLoad,
	readOthersLoad,
	findSpeedReader,
	limits,
	room,
}: ChoiceSources): BackendChoice {
	const toCandidate = (
		record: BackendRecord,
		avoidedAsTold: ReadonlySet<string>,
		readSpeed: SpeedReader | undefined,
	): Candidate => ({
		id: record.id,
		address: record.address,
		dataCentre: record.dataCentre,
		slots: record.slots,
		ownLoad: readOwnLoad(record.id),
		othersLoad: readOthersLoad(record.id),
		isResponsive: hasRecentContact(record),
		isAvoided: isAvoidedHere(record.id) || avoidedAsTold.has(record.id),
		relativeSpeed: readSpeed?.(record),
	});

	const chooseAmong = (
		records: readonly BackendRecord[],
		avoidedAsTold: ReadonlySet<string>,
		request: PlacementRequest,
		random: number,
	): BackendRecord | undefined => {
		const readSpeed =
			records[0] === undefined
				? undefined
				: findSpeedReader(records[0].service);
		const chosen = chooseBackend(
			records.map((record) => toCandidate(record, avoidedAsTold, readSpeed)),
			request,
			random,
		);
		return records.find(({id}) => id === chosen?.id);
	};

	return {
		choose(service, request, random) {
			const open = listOpen(service, request.softwareVersion).filter((record) =>
				room.hasRoom(record, request),
			);
			const unlimited = open.filter((record) => !limits.isLimited(record));
			const limited = open.filter((record) => limits.isLimited(record));
			const avoidedAsTold = listAvoidedAsTold(service);
			const eligible = limited.filter(
				(record) =>
					!request.excluded.includes(record.id) &&
					!avoidedAsTold.has(record.id) &&
					hasRecentContact(record) &&
					!isAvoidedHere(record.id),
			);
			const unlimitedSlots = unlimited.reduce(
				(sum, {slots}) => sum + Math.max(1, slots),
				0,
			);
			return (
				limits.draw(service, eligible, unlimitedSlots) ??
				chooseAmong(unlimited, avoidedAsTold, request, random)
			);
		},
		chooseCopyTarget: (service, request, random) =>
			chooseAmong(
				listOpen(service, request.softwareVersion).filter(
					(record) =>
						!limits.isLimited(record) && room.hasRoom(record, request),
				),
				listAvoidedAsTold(service),
				request,
				random,
			),
		listCandidates(service) {
			const avoidedAsTold = listAvoidedAsTold(service);
			return listOpen(service).map((record) => ({
				record,
				candidate: toCandidate(record, avoidedAsTold, undefined),
				isLimited: limits.isLimited(record),
			}));
		},
	};
}
