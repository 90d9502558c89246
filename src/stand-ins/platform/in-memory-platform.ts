import type {Platform} from '../../object-store/platform.js';
import {
	PlatformConflictError, PlatformRefusedError, throwPlatformRefused, throwPlatformSilent,
} from '../../object-store/platform-errors.js';
import type {Clock} from '../../time/clock.js';
import {withinMs} from '../../time/deadline.js';
import type {ObjectStore} from './object-store.js';
import {CallEffect, createFaultInjector, type FaultInjector} from './platform-faults.js';

/** One client of a store in the same process. */
export type InMemoryPlatform = Platform & {
	/** Injects faults into the calls of this client only. */
	readonly faultInjector: FaultInjector;
};

/** Options of {@link createInMemoryPlatform}. */
export type InMemoryPlatformOptions = {
	readonly store: ObjectStore;
	readonly clock: Clock;
	/** Injects faults into the calls of all clients of the store. */
	readonly sharedFaultInjector?: FaultInjector;
};

/** A call to the store; errors name it by `callName`. */
type Call<T> = {
	readonly callName: string;
	readonly effect: CallEffect;
	readonly timeoutMs: number;
	run(signal: AbortSignal): T | Promise<T>;
};

/** Creates a client of the store. */
export function createInMemoryPlatform({store, clock, sharedFaultInjector: sharedInjector}: InMemoryPlatformOptions): InMemoryPlatform {
	const injector = createFaultInjector({clock});

	const call = async <T>({callName, effect, timeoutMs, run}: Call<T>): Promise<T> => {
		const abort = new AbortController();
		const runAtStore = async () => run(abort.signal);
		const runShared = async (): Promise<T> => sharedInjector ? sharedInjector.runWithFaults(effect, runAtStore) : runAtStore();
		const outcome = await withinMs(clock, timeoutMs, injector.runWithFaults(effect, runShared)).catch((err: unknown) => rethrow(callName, err));
		abort.abort();
		return outcome.timedOut ? throwPlatformSilent(callName) : outcome.value;
	};

	return {
		faultInjector: injector,
		async get(kind, name, timeoutMs) {
			return call({
				callName: `get ${kind} ${name}`, effect: CallEffect.Read, timeoutMs, run: () => store.get(kind, name),
			});
		},
		async list(kind, prefix, timeoutMs) {
			return call({
				callName: `list ${kind}`, effect: CallEffect.Read, timeoutMs, run: () => store.list(kind, prefix),
			});
		},
		async put(object, timeoutMs) {
			return call({
				callName: `put ${object.kind} ${object.name}`, effect: CallEffect.Change, timeoutMs, run: () => store.put(object),
			});
		},
		async delete(kind, name, expectedVersion, timeoutMs) {
			return call({
				callName: `delete ${kind} ${name}`, effect: CallEffect.Change, timeoutMs, run() {
					store.delete(kind, name, expectedVersion);
				},
			});
		},
		async watch(kind, revision, waitMs, timeoutMs) {
			return call({
				callName: `watch ${kind}`, effect: CallEffect.Watch, timeoutMs, run: async signal => store.watch(kind, revision, waitMs, signal),
			});
		},
		async hosts(timeoutMs) {
			return call({
				callName: 'hosts', effect: CallEffect.Read, timeoutMs, run: () => store.hosts(),
			});
		},
	};
}

/** Rethrows a version conflict as it is, and any other error with the name of the call. */
function rethrow(callName: string, err: unknown): never {
	if (err instanceof PlatformConflictError) {
		throw err;
	}

	return err instanceof PlatformRefusedError ? throwPlatformRefused(callName, err.message) : throwPlatformSilent(callName, err);
}
