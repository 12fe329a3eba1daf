/** A file opened for appending. */
export type AppendFile = Readonly<{
	append: (data: Uint8Array) => Promise<void>;
	/** Resolves when all appended data is durable. */
	sync: () => Promise<void>;
	close: () => Promise<void>;
}>;

/** File operations used by the store; each rejects with the error of the operating system. */
export type FileSystem = Readonly<{
	createFolder: (path: string) => Promise<void>;
	/** Lists the names in a folder. */
	list: (path: string) => Promise<readonly string[]>;
	/** Reads a file; `undefined` if it does not exist. */
	read: (path: string) => Promise<Uint8Array | undefined>;
	/** Opens a file for appending; creates it if it does not exist. */
	openAppend: (path: string) => Promise<AppendFile>;
	/** Creates a file; `false` if it exists already. */
	createExclusive: (path: string, content: string) => Promise<boolean>;
	truncate: (path: string, length: number) => Promise<void>;
	rename: (from: string, to: string) => Promise<void>;
	remove: (path: string) => Promise<void>;
	/** Resolves when the directory entries of a folder are durable. */
	syncFolder: (path: string) => Promise<void>;
}>;
