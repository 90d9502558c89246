import type {Service} from '../kernel/service.js';
import type {Log} from '../log/log.js';
import {ObjectKind, type Platform} from '../object-store/platform.js';
import type {Random} from '../random/random.js';
import type {Clock} from '../time/clock.js';
import {withinMs} from '../time/deadline.js';
import type {ConfigurationState} from './create-configuration.js';

/** Options of {@link createConfigurationWatch}, with times in milliseconds. The figures behind the defaults are in docs/notes/configuration.md. */
export type ConfigurationWatchOptions = {
	readonly configuration: ConfigurationState;
	readonly platform: Platform;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	/** How long the store holds a watch open while nothing changes. */
	readonly waitMs?: number;
	/** Mean interval between two full lists. */
	readonly listIntervalMs?: number;
};

/** How long a response may take, beyond the watch's own wait, before the next request is sent. */
const RESPONSE_TIMEOUT_MS = 1000;
const LIST_RESPONSE_TIMEOUT_MS = 3000;
/** How long a late response is still accepted, while further requests are already under way. */
const LATE_RESPONSE_TIMEOUT_MS = 8000;
/** Mean pause after a watch that returned before its wait was over. The pause varies by up to half, so that the calls of a fleet that was notified at once are spread. */
const MEAN_SPREAD_PAUSE_MS = 1000;
const MIN_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 4000;

/**
 * Creates the tasks that load the configuration from the store: one lists all groups once and then watches for changes, the other repeats the full list at long intervals.
 *
 * Starting does not wait for the first response; `loaded` of the configuration becomes true once the whole configuration was received.
 */
export function createConfigurationWatch(options: ConfigurationWatchOptions): Service {
	const {configuration, platform, clock, random, waitMs = 2000, listIntervalMs = 3_600_000} = options;
	const log = options.log.withPrefix('configuration watch: ');
	const stopped = new AbortController();
	let failures = 0;

	const list = async () => {
		const groups = await platform.list(ObjectKind.Group, '', LATE_RESPONSE_TIMEOUT_MS);
		if (!stopped.signal.aborted) {
			configuration.applyList(groups, clock.now());
		}
	};

	const watch = async (wait: number, timeoutMs: number) => {
		const changes = await platform.watch(ObjectKind.Group, configuration.revision, wait, timeoutMs);
		if (!stopped.signal.aborted) {
			configuration.applyChanges(changes, clock.now());
		}
	};

	/** Sends one request to the store; the result says whether it timed out. Rejects where the call fails. */
	const sendRequest = async () => {
		if (!configuration.loaded) {
			return withinMs(clock, LIST_RESPONSE_TIMEOUT_MS, list());
		}

		/*
		 * Failure: the store is slow, or it recovers while a call hangs. With a long timeout the host would learn of a
		 * change only when the hanging call is given up, with a short one never. So after a failure the requests ask
		 * for an immediate response and are repeated soon, while late responses are still accepted.
		 */
		if (failures > 0) {
			return withinMs(clock, RESPONSE_TIMEOUT_MS, watch(0, LATE_RESPONSE_TIMEOUT_MS));
		}

		/*
		 * Failure: a watch never returns although new calls work, and the host would keep an old configuration
		 * unnoticed. The wait is short and the call has a timeout, so the next call, which starts from the same
		 * revision, returns the changes that the dead one missed.
		 */
		const totalTimeoutMs = waitMs + RESPONSE_TIMEOUT_MS;
		return withinMs(clock, totalTimeoutMs, watch(waitMs, totalTimeoutMs));
	};

	/** Sends one request to the store; returns the pause before the next one in milliseconds. */
	const poll = async () => {
		const startedAt = clock.now();
		const succeeded = await sendRequest().then(({timedOut}) => !timedOut, (err: unknown) => {
			log.debug('a call to the store failed', {failures, err});
			return false;
		});
		if (!succeeded) {
			failures++;
			return getBackoffMs(failures, random.fraction());
		}

		failures = 0;
		return clock.now() - startedAt < waitMs ? MEAN_SPREAD_PAUSE_MS * (0.5 + random.fraction()) : 0;
	};

	const runWatch = async () => {
		while (!stopped.signal.aborted) {
			const pauseMs = await poll();
			await clock.sleep(pauseMs, stopped.signal);
		}
	};

	/** Lists all groups now and then to repair whatever the watch missed; the interval keeps this a small share of the host's traffic. */
	const runLists = async () => {
		while (!stopped.signal.aborted) {
			await clock.sleep(listIntervalMs * (0.5 + random.fraction()), stopped.signal);
			await list().catch((err: unknown) => {
				log.debug('could not list the groups in the store', {err});
			});
		}
	};

	return {
		async start() {
			void runWatch();
			void runLists();
		},
		async stop() {
			stopped.abort();
		},
	};
}

/** Returns a backoff that doubles from {@link MIN_BACKOFF_MS} to {@link MAX_BACKOFF_MS}, shortened by up to half as jitter: `fraction` is a random number from 0 to 1. */
function getBackoffMs(failures: number, fraction: number): number {
	const ceiling = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * (2 ** (failures - 1)));
	return ceiling * (1 - (fraction / 2));
}
