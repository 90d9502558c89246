import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

let collect: (() => void) | undefined;

/** Holds what is being measured: a local variable that is not read again may be collected before its function ends. */
let measured: unknown;

/** Bytes of heap that what `create` returns keeps alive, after a full collection before and after. */
export async function measureHeapBytes(create: () => unknown): Promise<number> {
	const before = getLiveBytes();
	measured = await create();
	const bytes = getLiveBytes() - before;
	measured = undefined;
	return bytes;
}

function getLiveBytes(): number {
	collect ??= createCollector();
	collect();
	collect();
	return process.memoryUsage().heapUsed;
}

function createCollector(): () => void {
	setFlagsFromString('--expose-gc');
	return runInNewContext('gc') as () => void;
}
