import {readFile} from 'node:fs/promises';

const KILOBYTE = 1024;

/**
 * Resolves with the bytes that a process of this machine has read and written so far, as the kernel counts them.
 *
 * A daemon uses no disk, so these are the bytes on its sockets, plus its log lines and 8 bytes for each wake-up between its threads.
 */
export async function getTransferredBytes(pid: number): Promise<number> {
	const text = await readFile(`/proc/${pid}/io`, 'utf8');
	return getNumber(text, 'rchar') + getNumber(text, 'wchar');
}

/** Resolves with the private memory of a process of this machine in bytes: its resident memory without the pages of its program. */
export async function getPrivateBytes(pid: number): Promise<number> {
	const text = await readFile(`/proc/${pid}/status`, 'utf8');
	return getNumber(text, 'RssAnon') * KILOBYTE;
}

function getNumber(text: string, name: string): number {
	const line = text.split('\n').find(candidate => candidate.startsWith(`${name}:`));
	return Number(/\d+/v.exec(line ?? '')?.[0] ?? Number.NaN);
}
