export type {EntryProgram} from './program.js';
export {startEntryProgram} from './program.js';
export type {EntrySettings} from './settings.js';
export {entrySettingsSchema} from './settings.js';
