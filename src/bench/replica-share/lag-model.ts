import type {Random} from '../../random/random.js';
import type {DatabaseServer} from '../../stand-ins/database/database-server.js';
import type {VirtualSchedule} from '../virtual-schedule.js';

/** How a replica lags. */
export type ReplicaLag = {
	/** Middle of the lag, in milliseconds. */
	readonly medianMs: number;
	/** Mean time between two stalls, in milliseconds; 0 for none. */
	readonly stallEveryMs: number;
	/** Longest stall, in milliseconds. */
	readonly stallMs: number;
};

/** How long one lag lasts before the next is drawn, in milliseconds. */
const JITTER_EVERY_MS = 250;

/** The lag is drawn between the median divided and multiplied by this. */
const JITTER = 1.6;

/** Gives a replica a lag with jitter, and stalls in which it pulls nothing. */
export function startLag(server: DatabaseServer, lag: ReplicaLag, schedule: VirtualSchedule, random: Random): void {
	void vary(server, lag, schedule, random);
	if (lag.stallEveryMs > 0) {
		void stall(server, lag, schedule, random);
	}
}

async function vary(server: DatabaseServer, {medianMs}: ReplicaLag, schedule: VirtualSchedule, random: Random): Promise<void> {
	for (;;) {
		server.setReplicationLag(medianMs * (JITTER ** ((2 * random.fraction()) - 1)));
		await schedule.sleep(JITTER_EVERY_MS);
	}
}

async function stall(server: DatabaseServer, {stallEveryMs, stallMs}: ReplicaLag, schedule: VirtualSchedule, random: Random): Promise<void> {
	for (;;) {
		await schedule.sleep(-Math.log(1 - random.fraction()) * stallEveryMs);
		server.setReplicationStalled(true);
		await schedule.sleep(stallMs * random.fraction());
		server.setReplicationStalled(false);
	}
}
