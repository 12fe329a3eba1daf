import type {BackendRecord} from '../../index.js';

/** A backend server that is ready; it named no software version. */
export const READY_RECORD: BackendRecord = {
	id: 'e-1',
	service: 'model',
	address: '10.0.0.1:80',
	dataCentre: 'a',
	state: 'ready',
	slots: 8,
	bornAt: 1000,
	sequence: 4,
	heardAt: 10,
};
