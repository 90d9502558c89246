import type {LocalProxy} from '../stand-ins/processes/local-system.js';

/** The platform's balancer in little: leads each request to the next proxy in turn. */
export type Balancer = {
	/** The next proxy; one that was taken out is passed over. */
	next(): LocalProxy;
	/** Every proxy that is not taken out. */
	getLive(): readonly LocalProxy[];
	takeOut(name: string): void;
};

/** Creates a balancer over the proxies. */
export function createBalancer(proxies: readonly LocalProxy[]): Balancer {
	const out = new Set<string>();
	let turn = 0;

	const getLive = () => proxies.filter(({host}) => !out.has(host.name));

	return {
		getLive,
		next() {
			const live = getLive();
			turn++;
			return live[turn % live.length] ?? throwNoProxy();
		},
		takeOut(name) {
			out.add(name);
		},
	};
}

function throwNoProxy(): never {
	throw new Error('no proxy is left');
}
