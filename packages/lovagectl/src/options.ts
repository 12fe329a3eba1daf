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

const secondsType = extendType(string, {
	displayName: 'seconds',
	async from(text) {
		if (!/^\d+(\.\d+)?$/.test(text) || Number(text) === 0) {
			throw new Error('must be a number of seconds above 0');
		}

		return Number(text) * MS_PER_SECOND;
	},
});

/** A version of the configuration. */
export const versionType = extendType(string, {
	displayName: 'version',
	async from(text) {
		if (!/^\d{1,15}$/.test(text)) {
			throw new Error('must be a whole number from 0');
		}

		return Number(text);
	},
});

/** Option of each command that prints. */
export const jsonOptions = {
	isJson: flag({long: 'json', description: 'Print JSON for programs'}),
};

/** Options that name the files of a configuration. */
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

/** Options that name the control group and the operator. */
export const connectionOptions = {
	control: multioption({
		long: 'control',
		type: array(string),
		description: 'Address of a control instance; may be repeated',
	}),
	operator: option({
		long: 'operator',
		type: optional(string),
		description: 'Operator who asks',
	}),
	keyFile: option({
		long: 'key-file',
		type: optional(string),
		description: "File with the operator's key",
	}),
	settings: option({
		long: 'settings',
		type: optional(string),
		description: 'Settings file of lovagectl',
	}),
};

/** Option for the longest time that a command may take. */
export function createTimeoutOption(defaultMs: number) {
	return {
		timeoutMs: option({
			long: 'timeout',
			type: secondsType,
			description: 'Longest time to wait, in seconds',
			defaultValue: () => defaultMs,
		}),
	};
}
