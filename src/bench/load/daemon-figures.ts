import type {LocalProxy} from '../../stand-ins/processes/local-system.js';

/** Processor seconds that a daemon has spent so far, by its own metrics. */
export async function getProcessorSeconds(proxy: LocalProxy): Promise<number> {
	return getFigure(proxy, 'process_cpu_seconds_total');
}

/** Resident memory of a daemon in bytes, by its own metrics. */
export async function getResidentBytes(proxy: LocalProxy): Promise<number> {
	return getFigure(proxy, 'process_resident_memory_bytes');
}

async function getFigure(proxy: LocalProxy, name: string): Promise<number> {
	const res = await fetch(`${proxy.operatorUrl}/metrics`);
	const text = await res.text();
	const line = text.split('\n').find(candidate => candidate.startsWith(`${name} `));
	return Number(line?.split(' ')[1] ?? Number.NaN);
}
