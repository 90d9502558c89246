import type {Service} from '../kernel/service.js';
import type {Log} from '../log/log.js';
import {ObjectKind, type Platform} from '../object-store/platform.js';
import type {Random} from '../random/random.js';
import type {Clock} from '../time/clock.js';
import {withinMs} from '../time/deadline.js';
import type {ConfigurationState} from './create-configuration.js';

/** Options of {@link createConfigurationWatch}. Times are in milliseconds; docs/notes/configuration.md has the figures behind the defaults. */
export type ConfigurationWatchOptions = {
	readonly configuration: ConfigurationState;
	readonly platform: Platform;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	/** How long a watch waits in the store. */
	readonly waitMs?: number;
	/** Mean time between two full lists. */
	readonly listIntervalMs?: number;
};

/** How long an answer may be on its way before the store is asked again. */
const ANSWER_MS = 1000;
const LIST_ANSWER_MS = 3000;
/** How long a slow answer is still taken after a failure, while the store is asked again beside it. */
const PATIENCE_MS = 8000;
/** Mean pause after an answer that came before the wait's end, half of it up to half more, so that the calls of a fleet woken at once spread. */
const SPREAD_MS = 1000;
const MIN_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 4000;

/**
 * Creates the tasks that take the configuration from the store: one lists once and then watches, one lists again now and then.
 *
 * Starting does not wait for the first answer; `loaded` of the configuration tells when it came.
 */
export function createConfigurationWatch(options: ConfigurationWatchOptions): Service {
	const {configuration, platform, clock, random, waitMs = 2000, listIntervalMs = 3_600_000} = options;
	const log = options.log.withPrefix('configuration watch: ');
	const stopped = new AbortController();
	let failures = 0;

	const list = async () => {
		const answer = await platform.list(ObjectKind.Group, '', PATIENCE_MS);
		if (!stopped.signal.aborted) {
			configuration.takeList(answer, clock.now());
		}
	};

	const watch = async (wait: number, timeoutMs: number) => {
		const changes = await platform.watch(ObjectKind.Group, configuration.revision, wait, timeoutMs);
		if (!stopped.signal.aborted) {
			configuration.takeChanges(changes, clock.now());
		}
	};

	/** Asks the store once; tells whether it answered in time. */
	const ask = async () => {
		if (!configuration.loaded) {
			return withinMs(clock, LIST_ANSWER_MS, list());
		}

		/*
		 * Failure: the store is slow, or its silence ends while a call hangs. A patient host would learn of a change only
		 * when the hanging call is given up, an impatient one never. So after a failure the store is asked for an answer
		 * at once, and asked again soon, while a late answer is still taken.
		 */
		if (failures > 0) {
			return withinMs(clock, ANSWER_MS, watch(0, PATIENCE_MS));
		}

		/*
		 * Failure: the watch goes silent for good while new calls work; the host would keep an old configuration without
		 * a sign. The wait is short and the call bounded, so the next call, which asks again from the same revision,
		 * brings whatever the dead one withheld.
		 */
		const boundMs = waitMs + ANSWER_MS;
		return withinMs(clock, boundMs, watch(waitMs, boundMs));
	};

	/** Asks the store once; returns the pause until it is to be asked again. */
	const takeNext = async () => {
		const startedAt = clock.now();
		const answered = await ask().then(({timedOut}) => !timedOut, (err: unknown) => {
			log.debug('the store gave no answer', {failures, err});
			return false;
		});
		if (!answered) {
			failures++;
			return getBackoffMs(failures, random.fraction());
		}

		failures = 0;
		return clock.now() - startedAt < waitMs ? SPREAD_MS * (0.5 + random.fraction()) : 0;
	};

	const runWatch = async () => {
		while (!stopped.signal.aborted) {
			const pauseMs = await takeNext();
			await clock.sleep(pauseMs, stopped.signal);
		}
	};

	/** Heals whatever a watch may have missed, at a share of the host's traffic that stays small. */
	const runLists = async () => {
		while (!stopped.signal.aborted) {
			await clock.sleep(listIntervalMs * (0.5 + random.fraction()), stopped.signal);
			await list().catch((err: unknown) => {
				log.debug('the store gave no list', {err});
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

/** Doubles from {@link MIN_BACKOFF_MS} to {@link MAX_BACKOFF_MS}, of which the chance takes up to a half off. */
function getBackoffMs(failures: number, chance: number): number {
	const ceiling = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * (2 ** (failures - 1)));
	return ceiling * (1 - (chance / 2));
}
