import type {Clock} from '../../time/clock.js';
import type {GroupMember} from './group-member.js';
import {createSignal} from './signal.js';

/** A replica's task that pulls entries from the primary it follows. */
export type Replication = {
	/** Tells the task that a log, a role or a fault in the group has changed. */
	wake(): void;
	/** How long an entry takes to arrive, in milliseconds; holds for what has not arrived yet too. */
	setLag(ms: number): void;
	/** Stops and goes on pulling, whatever the primary does. */
	setStalled(stalled: boolean): void;
	stop(): void;
};

/** What replication needs. */
export type ReplicationOptions = {
	readonly member: GroupMember;
	readonly clock: Clock;
	readonly lagMs: number;
	/** The primary at that address, where it can be reached and leads at that term. */
	getPrimary(address: string, term: number): GroupMember | undefined;
};

/** Starts a server's replication task. */
export function createReplication({member, clock, lagMs, getPrimary}: ReplicationOptions): Replication {
	const awoken = createSignal();
	let interruption = new AbortController();
	let lag = lagMs;
	let stalled = false;
	let stopped = false;
	let source: GroupMember | undefined;
	let sourceTerm = 0;

	const interrupt = () => {
		interruption.abort();
		interruption = new AbortController();
		awoken.notify();
	};

	/** Takes up the source anew after every change of term or loss, since the logs may have parted meanwhile. */
	const attach = () => {
		const {following} = member;
		const primary = following && !stalled ? getPrimary(following.address, following.term) : undefined;
		const isNew = primary !== source || following?.term !== sourceTerm;
		source = primary;
		sourceTerm = following?.term ?? 0;
		if (!primary || !isNew) {
			return;
		}

		// A tail that the primary does not have was never confirmed by a majority of its term; kept, it would answer
		// reads and request keys with what the group never agreed to.
		const common = member.log.getCommonPosition(primary.log);
		if (common < member.log.end.position) {
			member.truncate(common);
		}
	};

	/** Takes what has arrived; answers how long until the next entry arrives, undefined where none is under way. */
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
			attach();
			const waitMs = source && pull(source, clock.now());
			await (waitMs === undefined ? awoken.wait() : clock.sleep(waitMs, interruption.signal));
		}
	};

	void run();
	return {
		wake() {
			awoken.notify();
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
