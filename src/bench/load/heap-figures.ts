import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

let collectGarbage: (() => void) | undefined;

/** Keeps the measured value alive: the value of a local variable that is not read again may be collected before its function ends. */
let retained: unknown;

/** Resolves with the bytes of heap that the value returned by `create` keeps alive; runs a full garbage collection before and after. */
export async function measureHeapBytes(create: () => unknown): Promise<number> {
	const before = getLiveBytes();
	retained = await create();
	const bytes = getLiveBytes() - before;
	retained = undefined;
	return bytes;
}

function getLiveBytes(): number {
	collectGarbage ??= createGarbageCollector();
	collectGarbage();
	collectGarbage();
	return process.memoryUsage().heapUsed;
}

function createGarbageCollector(): () => void {
	setFlagsFromString('--expose-gc');
	return runInNewContext('gc') as () => void;
}
