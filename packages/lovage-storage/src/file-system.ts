/** A file that grows at its end. */
export type AppendFile = Readonly<{
	append: (data: Uint8Array) => Promise<void>;
	/** Returns once what was appended survives a power cut. */
	sync: () => Promise<void>;
	close: () => Promise<void>;
}>;

/** The file calls that the store needs; each rejects with the system's error. */
export type FileSystem = Readonly<{
	createFolder: (path: string) => Promise<void>;
	/** Names in a folder. */
	list: (path: string) => Promise<readonly string[]>;
	/** Content of a file; undefined if there is none. */
	read: (path: string) => Promise<Uint8Array | undefined>;
	/** Opens a file at its end and creates it if there is none. */
	openAppend: (path: string) => Promise<AppendFile>;
	/** Creates a file; false if there is one already. */
	createExclusive: (path: string, content: string) => Promise<boolean>;
	truncate: (path: string, length: number) => Promise<void>;
	rename: (from: string, to: string) => Promise<void>;
	remove: (path: string) => Promise<void>;
	/** Returns once the names in a folder survive a power cut. */
	syncFolder: (path: string) => Promise<void>;
}>;
