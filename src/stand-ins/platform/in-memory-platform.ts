import type {Platform} from '../../object-store/platform.js';
import {
	PlatformConflictError, PlatformRefusedError, throwPlatformRefused, throwPlatformSilent,
} from '../../object-store/platform-errors.js';
import type {Clock} from '../../time/clock.js';
import {withinMs} from '../../time/deadline.js';
import type {ObjectStore} from './object-store.js';
import {CallEffect, createFaultGate, type FaultGate} from './platform-faults.js';

/** One client's way to a store in the same process. */
export type InMemoryPlatform = Platform & {
	/** Faults of this client's way alone. */
	readonly gate: FaultGate;
};

/** Options of {@link createInMemoryPlatform}. */
export type InMemoryPlatformOptions = {
	readonly store: ObjectStore;
	readonly clock: Clock;
	/** Faults common to all clients of the store. */
	readonly sharedGate?: FaultGate;
};

/** What a call does and how it is named in an error. */
type Call<T> = {
	readonly what: string;
	readonly effect: CallEffect;
	readonly timeoutMs: number;
	run(signal: AbortSignal): T | Promise<T>;
};

/** Creates a client of the store. */
export function createInMemoryPlatform({store, clock, sharedGate}: InMemoryPlatformOptions): InMemoryPlatform {
	const gate = createFaultGate({clock});

	const call = async <T>({what, effect, timeoutMs, run}: Call<T>): Promise<T> => {
		const abort = new AbortController();
		const runAtStore = async () => run(abort.signal);
		const runShared = async (): Promise<T> => sharedGate ? sharedGate.pass(effect, runAtStore) : runAtStore();
		const bounded = await withinMs(clock, timeoutMs, gate.pass(effect, runShared)).catch((err: unknown) => rethrow(what, err));
		abort.abort();
		return bounded.timedOut ? throwPlatformSilent(what) : bounded.value;
	};

	return {
		gate,
		async get(kind, name, timeoutMs) {
			return call({
				what: `get ${kind} ${name}`, effect: CallEffect.Read, timeoutMs, run: () => store.get(kind, name),
			});
		},
		async list(kind, prefix, timeoutMs) {
			return call({
				what: `list ${kind}`, effect: CallEffect.Read, timeoutMs, run: () => store.list(kind, prefix),
			});
		},
		async put(object, timeoutMs) {
			return call({
				what: `put ${object.kind} ${object.name}`, effect: CallEffect.Change, timeoutMs, run: () => store.put(object),
			});
		},
		async delete(kind, name, expectedVersion, timeoutMs) {
			return call({
				what: `delete ${kind} ${name}`, effect: CallEffect.Change, timeoutMs, run() {
					store.delete(kind, name, expectedVersion);
				},
			});
		},
		async watch(kind, revision, waitMs, timeoutMs) {
			return call({
				what: `watch ${kind}`, effect: CallEffect.Watch, timeoutMs, run: async signal => store.watch(kind, revision, waitMs, signal),
			});
		},
		async hosts(timeoutMs) {
			return call({
				what: 'hosts', effect: CallEffect.Read, timeoutMs, run: () => store.hosts(),
			});
		},
	};
}

/** Passes a conflict on, which the store decided, and names the call in any other error. */
function rethrow(what: string, err: unknown): never {
	if (err instanceof PlatformConflictError) {
		throw err;
	}

	return err instanceof PlatformRefusedError ? throwPlatformRefused(what, err.message) : throwPlatformSilent(what, err);
}
