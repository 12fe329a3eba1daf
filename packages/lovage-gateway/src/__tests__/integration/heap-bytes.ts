import process from 'node:process';
import v8 from 'node:v8';
import vm from 'node:vm';

v8.setFlagsFromString('--expose-gc');
const collectGarbage = vm.runInNewContext('gc') as () => void;

/** Bytes of the heap that are in use, without garbage. */
export function readHeapBytes(): number {
	collectGarbage();
	return process.memoryUsage().heapUsed;
}
