import {Buffer} from 'node:buffer';
import {describe, expect, it} from 'vitest';
import {readBounded} from '../../index.js';

// A body of few bytes in as many chunks, each of which is an object: an array of them
// takes a hundred times what the bound of its bytes says.

type Source = Readonly<{
	body: AsyncIterable<Uint8Array>;
	countRead: () => number;
	isClosed: () => boolean;
}>;

function createSource(chunks: number, bytes: number): Source {
	let read = 0;
	let isClosed = false;
	const generate = async function* (): AsyncGenerator<Uint8Array> {
		try {
			while (read < chunks) {
				read += 1;
				yield Buffer.alloc(bytes, 'x');
			}
		} finally {
			isClosed = true;
		}
	};

	return {
		body: generate(),
		countRead: () => read,
		isClosed: () => isClosed,
	};
}

describe('readBounded', () => {
	it('reads a body of as many bytes as may be', async () => {
		const {body} = createSource(64, 1024);
		expect(await readBounded(body, 65_536)).toHaveLength(65_536);
	});

	it.each([
		{
			form: 'bytes',
			bytes: 1024,
			read: 65,
			message: 'the body exceeds 65536 bytes',
		},
		{
			form: 'small chunks',
			bytes: 1,
			read: 4097,
			message: 'the body comes in too many small chunks',
		},
	])('stops at too many $form', async ({bytes, read, message}) => {
		const source = createSource(65_536, bytes);
		await expect(readBounded(source.body, 65_536)).rejects.toThrow(message);
		expect([source.countRead(), source.isClosed()]).toEqual([read, true]);
	});
});
