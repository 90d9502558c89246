import type {Clock} from '../time/clock.js';
import type {GroupKnowledge} from '../groups/group-knowledge.js';
import {createDeadlineTimer} from '../time/deadline-timer.js';

/**
 * Notes when an exchange that was sent brought no sign of life of its endpoint for a while.
 *
 * Guards against a loss that only the next poll finds: filings would wait on a frozen primary for up to a poll's period
 * before anybody asks it anything. A statement may well take long; so each exchange raises one doubt at most, and only
 * where nothing else was heard of the endpoint since it was sent.
 */
export type SilenceWatch = {
	/** Begins to watch an exchange sent now; the returned call ends that. */
	begin(endpoint: string): () => void;
	stop(): void;
};

/** What a silence watch is made from. */
export type SilenceWatchOptions = {
	readonly clock: Clock;
	readonly knowledge: Pick<GroupKnowledge, 'get'>;
	/** Called when an endpoint was silent for too long. */
	onDoubt(endpoint: string, now: number): void;
};

/** How long an exchange may go without a sign of life of its endpoint, in milliseconds. */
const DOUBT_MS = 50;

type Sent = {
	readonly endpoint: string;
	readonly at: number;
};

/** Creates a watch of no exchanges. */
export function createSilenceWatch(options: SilenceWatchOptions): SilenceWatch {
	const {clock, knowledge} = options;
	const pending = new Set<Sent>();

	const look = () => {
		const now = clock.now();
		// A set keeps the order of sending, which is that of the deadlines.
		for (const sent of pending) {
			if (now - sent.at < DOUBT_MS) {
				deadlines.set(sent.at + DOUBT_MS);
				return;
			}

			pending.delete(sent);
			if ((knowledge.get(sent.endpoint)?.seenAt ?? -Infinity) <= sent.at) {
				options.onDoubt(sent.endpoint, now);
			}
		}
	};

	// One watch for all: a timer for each exchange would cost more than most exchanges.
	const deadlines = createDeadlineTimer(clock, look);

	return {
		begin(endpoint) {
			const sent = {endpoint, at: clock.now()};
			if (pending.size === 0) {
				deadlines.set(sent.at + DOUBT_MS);
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
