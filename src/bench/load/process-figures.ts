import {readFile} from 'node:fs/promises';

const KILOBYTE = 1024;

/**
 * Bytes that a process of this machine has read and written so far, by the kernel's count.
 *
 * A daemon has no disk, so all of it is sockets but for its log lines and 8 bytes for each wake-up between its threads.
 */
export async function getTransferredBytes(pid: number): Promise<number> {
	const text = await readFile(`/proc/${pid}/io`, 'utf8');
	return getLine(text, 'rchar') + getLine(text, 'wchar');
}

/** Bytes of memory that a process of this machine has for itself alone: all that is resident but the pages of its program. */
export async function getPrivateBytes(pid: number): Promise<number> {
	const text = await readFile(`/proc/${pid}/status`, 'utf8');
	return getLine(text, 'RssAnon') * KILOBYTE;
}

function getLine(text: string, name: string): number {
	const line = text.split('\n').find(candidate => candidate.startsWith(`${name}:`));
	return Number(/\d+/v.exec(line ?? '')?.[0] ?? Number.NaN);
}
