import type {Clock} from '../../time/clock.js';
import type {GroupMember} from './group-member.js';
import {createSignal} from './signal.js';

/** The background task of a replica that pulls entries from the primary that it follows. */
export type Replication = {
	/** Notifies the task that a log, a role or a fault in the group has changed. */
	wake(): void;
	/** Sets how long an entry takes to arrive, in milliseconds; this also applies to entries that have not arrived yet. */
	setLag(ms: number): void;
	/** Pauses or resumes pulling, whatever the primary does. */
	setStalled(stalled: boolean): void;
	stop(): void;
};

/** Options of {@link createReplication}. */
export type ReplicationOptions = {
	readonly member: GroupMember;
	readonly clock: Clock;
	readonly lagMs: number;
	/** Returns the server at the address if it is reachable and is primary at the term. */
	getPrimary(address: string, term: number): GroupMember | undefined;
};

/** Starts a server's replication task. */
export function createReplication({member, clock, lagMs, getPrimary}: ReplicationOptions): Replication {
	const woken = createSignal();
	let sleepAbort = new AbortController();
	let lag = lagMs;
	let stalled = false;
	let stopped = false;
	let source: GroupMember | undefined;
	let sourceTerm = 0;

	const interrupt = () => {
		sleepAbort.abort();
		sleepAbort = new AbortController();
		woken.notify();
	};

	/** Selects the primary to pull from. If it or its term is new, entries that it does not hold are removed: the logs may have diverged. */
	const updateSource = () => {
		const {following} = member;
		const primary = following && !stalled ? getPrimary(following.address, following.term) : undefined;
		const isNew = primary !== source || following?.term !== sourceTerm;
		source = primary;
		sourceTerm = following?.term ?? 0;
		if (!primary || !isNew) {
			return;
		}

		// A tail that the primary does not have was never confirmed by a majority in its term. If it were kept, reads and
		// request keys would be answered with entries on which the group never agreed.
		const commonPosition = member.log.getCommonPosition(primary.log);
		if (commonPosition < member.log.end.position) {
			member.truncate(commonPosition);
		}
	};

	/** Copies the entries that have arrived; returns the milliseconds until the next one arrives, undefined if there is none. */
	const pull = (primary: GroupMember, now: number): number | undefined => {
		const {end} = member.log;
		let {position} = end;
		for (let next = primary.log.get(position + 1); next && next.writtenAt + lag <= now; next = primary.log.get(position + 1)) {
			position++;
		}

		if (position > end.position) {
			member.receive(primary.log, position);
		}

		const next = primary.log.get(position + 1);
		return next && (next.writtenAt + lag - now);
	};

	const isRunning = () => !stopped;

	const run = async () => {
		while (isRunning()) {
			updateSource();
			const waitMs = source && pull(source, clock.now());
			await (waitMs === undefined ? woken.wait() : clock.sleep(waitMs, sleepAbort.signal));
		}
	};

	void run();
	return {
		wake() {
			woken.notify();
		},
		setLag(ms) {
			lag = ms;
			interrupt();
		},
		setStalled(value) {
			stalled = value;
			interrupt();
		},
		stop() {
			stopped = true;
			interrupt();
		},
	};
}
