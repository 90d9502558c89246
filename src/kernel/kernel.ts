import type {Service} from './service.js';
import type {ServiceMap, ServiceName} from './service-map.js';
import {throwServiceMissing, throwServiceAlreadyRegistered} from './kernel-errors.js';

/** Holds the daemon's services by name, starts them in order of registration and stops them in reverse order. */
export type Kernel = {
	/** Registers a service under its name. Throws KernelError if the name is already taken. */
	register<N extends ServiceName>(name: N, service: ServiceMap[N]): void;
	/** Returns a service, or undefined if none is registered under this name. */
	get<N extends ServiceName>(name: N): ServiceMap[N] | undefined;
	/** Returns a service. Throws KernelError if none is registered under this name. */
	getOrThrow<N extends ServiceName>(name: N): ServiceMap[N];
	/** Starts the services one after the other. If the kernel is stopped meanwhile, the remaining services are not started. */
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
				throwServiceAlreadyRegistered(name);
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
				// A service whose start completes during a stop is stopped here, since the stop did not include it. Without this check the services after
				// it, of which the port for callers is the last, would also start in a process that is about to end.
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
