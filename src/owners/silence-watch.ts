import type {Clock} from '../time/clock.js';
import type {GroupKnowledge} from '../groups/group-knowledge.js';
import {createDeadlineTimer} from '../time/deadline-timer.js';

/**
 * Reports an endpoint from which nothing was received for a while after an exchange was sent to it.
 *
 * Guards against a loss that only the next poll detects: writes would wait on a frozen primary for up to a poll interval
 * before it is checked. A statement may legitimately take long, so each exchange causes at most one report, and only if
 * nothing else was received from the endpoint since it was sent.
 */
export type SilenceWatch = {
	/** Starts to watch an exchange that is sent now; the returned function stops that. */
	begin(endpoint: string): () => void;
	stop(): void;
};

/** Options of {@link createSilenceWatch}. */
export type SilenceWatchOptions = {
	readonly clock: Clock;
	readonly knowledge: Pick<GroupKnowledge, 'get'>;
	/** Called when an endpoint has been silent for too long. */
	onSilent(endpoint: string, now: number): void;
};

/** How long nothing may be received from an endpoint after an exchange is sent before it is reported, in milliseconds. */
const SILENCE_TIMEOUT_MS = 50;

type Sent = {
	readonly endpoint: string;
	readonly at: number;
};

/** Creates a silence watch that watches no exchange yet. */
export function createSilenceWatch(options: SilenceWatchOptions): SilenceWatch {
	const {clock, knowledge} = options;
	const pending = new Set<Sent>();

	const check = () => {
		const now = clock.now();
		// A set keeps insertion order: exchanges are in the order in which they were sent, which is that of their deadlines.
		for (const sent of pending) {
			if (now - sent.at < SILENCE_TIMEOUT_MS) {
				deadlines.set(sent.at + SILENCE_TIMEOUT_MS);
				return;
			}

			pending.delete(sent);
			if ((knowledge.get(sent.endpoint)?.seenAt ?? -Infinity) <= sent.at) {
				options.onSilent(sent.endpoint, now);
			}
		}
	};

	// One timer serves all exchanges: a timer each would cost more than most exchanges.
	const deadlines = createDeadlineTimer(clock, check);

	return {
		begin(endpoint) {
			const sent = {endpoint, at: clock.now()};
			if (pending.size === 0) {
				deadlines.set(sent.at + SILENCE_TIMEOUT_MS);
			}

			pending.add(sent);
			return () => {
				pending.delete(sent);
			};
		},
		stop() {
			pending.clear();
			deadlines.stop();
		},
	};
}
