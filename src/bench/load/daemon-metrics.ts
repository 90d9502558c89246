import type {LocalProxy} from '../../stand-ins/processes/local-system.js';

/** Resolves with the processor seconds that a daemon has used so far, as its own metrics report them. */
export async function getProcessorSeconds(proxy: LocalProxy): Promise<number> {
	return getMetric(proxy, 'process_cpu_seconds_total');
}

/** Resolves with the resident memory of a daemon in bytes, as its own metrics report it. */
export async function getResidentBytes(proxy: LocalProxy): Promise<number> {
	return getMetric(proxy, 'process_resident_memory_bytes');
}

async function getMetric(proxy: LocalProxy, name: string): Promise<number> {
	const res = await fetch(`${proxy.operatorUrl}/metrics`);
	const text = await res.text();
	const line = text.split('\n').find(candidate => candidate.startsWith(`${name} `));
	return Number(line?.split(' ')[1] ?? Number.NaN);
}
