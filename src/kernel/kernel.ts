import type {Service} from './service.js';
import type {ServiceMap, ServiceName} from './service-map.js';
import {throwServiceMissing, throwServiceTwice} from './kernel-errors.js';

/** Holds the daemon's services by name, starts them in order of registration and stops them in reverse. */
export type Kernel = {
	/** Registers a service under its name. */
	register<N extends ServiceName>(name: N, service: ServiceMap[N]): void;
	/** Finds a service, or undefined where none is registered. */
	get<N extends ServiceName>(name: N): ServiceMap[N] | undefined;
	/** Finds a service that must be there. */
	getOrThrow<N extends ServiceName>(name: N): ServiceMap[N];
	/** Starts every service that has a life cycle; where it is stopped meanwhile, no further one. */
	start(): Promise<void>;
	/** Stops the started services in reverse order. */
	stop(): Promise<void>;
};

/** Creates an empty kernel. */
export function createKernel(): Kernel {
	const services = new Map<ServiceName, unknown>();
	const started: Service[] = [];
	let stopping = false;

	return {
		register(name, service) {
			if (services.has(name)) {
				throwServiceTwice(name);
			}

			services.set(name, service);
		},
		get<N extends ServiceName>(name: N) {
			return services.get(name) as ServiceMap[N] | undefined;
		},
		getOrThrow<N extends ServiceName>(name: N) {
			return (services.get(name) ?? throwServiceMissing(name)) as ServiceMap[N];
		},
		async start() {
			stopping = false;
			for (const service of services.values() as Iterable<Service>) {
				await service.start?.();
				// Guards against a service that gets there during the stop: it would never be stopped, and those after it, the
				// port for callers last, would open at a process that is about to end.
				if (stopping) {
					await service.stop?.();
					return;
				}

				started.push(service);
			}
		},
		async stop() {
			stopping = true;
			while (started.length > 0) {
				await started.pop()?.stop?.();
			}
		},
	};
}
