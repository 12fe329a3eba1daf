import {
	array,
	extendType,
	flag,
	multioption,
	option,
	optional,
	string,
} from 'cmd-ts';

const MS_PER_SECOND = 1000;

/** Option type for a time in seconds, which is read as milliseconds. */
export const secondsType = extendType(string, {
	displayName: 'seconds',
	async from(text) {
		if (!/^\d+(\.\d+)?$/.test(text) || Number(text) === 0) {
			throw new Error('must be a positive number of seconds');
		}

		return Number(text) * MS_PER_SECOND;
	},
});

/** Option type for a configuration version. */
export const versionType = extendType(string, {
	displayName: 'version',
	async from(text) {
		if (!/^\d{1,15}$/.test(text)) {
			throw new Error('must be a non-negative integer of up to 15 digits');
		}

		return Number(text);
	},
});

/** Output option of all commands. */
export const jsonOptions = {
	isJson: flag({long: 'json', description: 'Print JSON'}),
};

/** Options for the configuration files. */
export const fileOptions = {
	inventory: option({
		long: 'inventory',
		type: string,
		description: 'Inventory file',
		defaultValue: () => 'inventory.yaml',
		defaultValueIsSerializable: true,
	}),
	rules: option({
		long: 'rules',
		type: string,
		description: 'Rules file',
		defaultValue: () => 'rules.yaml',
		defaultValueIsSerializable: true,
	}),
};

/** Options for the connection to the control group and the operator. */
export const connectionOptions = {
	control: multioption({
		long: 'control',
		type: array(string),
		description: 'Address of a control instance; may be repeated',
	}),
	operator: option({
		long: 'operator',
		type: optional(string),
		description: 'Operator name',
	}),
	keyFile: option({
		long: 'key-file',
		type: optional(string),
		description: "File that contains the operator's key",
	}),
	settings: option({
		long: 'settings',
		type: optional(string),
		description: 'Settings file of lovagectl',
	}),
};

/** Option for the timeout of a command. */
export function createTimeoutOption(defaultMs: number) {
	return {
		timeoutMs: option({
			long: 'timeout',
			type: secondsType,
			description: 'Timeout in seconds',
			defaultValue: () => defaultMs,
		}),
	};
}
