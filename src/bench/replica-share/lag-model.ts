import type {Random} from '../../random/random.js';
import type {DatabaseServer} from '../../stand-ins/database/database-server.js';
import type {VirtualSchedule} from '../virtual-schedule.js';

/** Parameters of a replica's replication lag. */
export type ReplicaLag = {
	/** Median lag, in milliseconds. */
	readonly medianMs: number;
	/** Mean time between two stalls, in milliseconds; 0 for no stalls. */
	readonly stallEveryMs: number;
	/** Maximum length of a stall, in milliseconds. */
	readonly stallMs: number;
};

/** Interval between changes of the lag, in milliseconds. */
const JITTER_INTERVAL_MS = 250;

/** The lag is drawn between the median divided by this factor and the median multiplied by it. */
const JITTER_FACTOR = 1.6;

/** Gives a replica a lag with jitter, and stalls during which it receives nothing. */
export function startLag(server: DatabaseServer, lag: ReplicaLag, schedule: VirtualSchedule, random: Random): void {
	void runJitter(server, lag, schedule, random);
	if (lag.stallEveryMs > 0) {
		void runStalls(server, lag, schedule, random);
	}
}

async function runJitter(server: DatabaseServer, {medianMs}: ReplicaLag, schedule: VirtualSchedule, random: Random): Promise<void> {
	for (;;) {
		server.setReplicationLag(medianMs * (JITTER_FACTOR ** ((2 * random.fraction()) - 1)));
		await schedule.sleep(JITTER_INTERVAL_MS);
	}
}

async function runStalls(server: DatabaseServer, {stallEveryMs, stallMs}: ReplicaLag, schedule: VirtualSchedule, random: Random): Promise<void> {
	for (;;) {
		await schedule.sleep(-Math.log(1 - random.fraction()) * stallEveryMs);
		server.setReplicationStalled(true);
		await schedule.sleep(stallMs * random.fraction());
		server.setReplicationStalled(false);
	}
}
