import type {LocalProxy} from '../stand-ins/processes/local-system.js';

/** A minimal version of the platform's balancer, which sends each request to the next proxy in turn. */
export type Balancer = {
	/** Returns the next proxy that was not removed; throws where none is left. */
	next(): LocalProxy;
	/** Returns every proxy that was not removed. */
	getLive(): readonly LocalProxy[];
	remove(name: string): void;
};

/** Creates a balancer over the proxies. */
export function createBalancer(proxies: readonly LocalProxy[]): Balancer {
	const removed = new Set<string>();
	let turn = 0;

	const getLive = () => proxies.filter(({host}) => !removed.has(host.name));

	return {
		getLive,
		next() {
			const live = getLive();
			turn++;
			return live[turn % live.length] ?? throwNoProxy();
		},
		remove(name) {
			removed.add(name);
		},
	};
}

function throwNoProxy(): never {
	throw new Error('no proxy is left');
}
