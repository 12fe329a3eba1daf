export {type ControlProgram, startControlProgram} from './program.js';
export {
	type ControlProgramSettings,
	controlSettingsSchema,
} from './settings.js';
