import type {Service} from '../kernel/service.js';
import type {Log} from '../log/log.js';
import {ObjectKind, type Platform} from '../platform/platform.js';
import type {Random} from '../random/random.js';
import type {Clock} from '../time/clock.js';
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

/** Bound on a list; a silent store costs a starting host no more than this before it asks again. */
const LIST_TIMEOUT_MS = 3000;
/** How long an answer may be on its way, at first and at most; it doubles while the store is slow. */
const MIN_GRACE_MS = 1000;
const MAX_GRACE_MS = 8000;
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
	const log = options.log.part('configuration watch: ');
	const stopped = new AbortController();
	let failures = 0;
	let graceMs = MIN_GRACE_MS;

	const list = async () => {
		const answer = await platform.list(ObjectKind.Group, '', LIST_TIMEOUT_MS);
		if (!stopped.signal.aborted) {
			configuration.takeList(answer, clock.now());
		}
	};

	const watch = async () => {
		// After a failure the answer is wanted at once: it shows whether the store is back.
		const wait = failures > 0 ? 0 : waitMs;
		const askedAt = clock.now();
		/*
		 * Failure: the watch goes silent for good while new calls work; the host would keep an old configuration without
		 * a sign. The wait is short and the call bounded, so the next call, which asks again from the same revision,
		 * brings whatever the dead one withheld.
		 */
		const changes = await platform.watch(ObjectKind.Group, configuration.revision, wait, wait + graceMs);
		if (stopped.signal.aborted) {
			return;
		}

		configuration.takeChanges(changes, clock.now());
		const isQuick = clock.now() - askedAt <= wait + (graceMs / 2);
		graceMs = isQuick ? Math.max(MIN_GRACE_MS, graceMs / 2) : graceMs;
	};

	/** Asks the store once; returns the pause until it is to be asked again. */
	const takeNext = async () => {
		const startedAt = clock.now();
		try {
			await (configuration.loaded ? watch() : list());
			failures = 0;
			return clock.now() - startedAt < waitMs ? SPREAD_MS * (0.5 + random.fraction()) : 0;
		} catch (err) {
			log.debug('the store gave no answer', {failures, err});
			failures++;
			graceMs = Math.min(MAX_GRACE_MS, graceMs * 2);
			return getBackoffMs(failures, random.fraction());
		}
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
