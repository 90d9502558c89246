import {
	Durability, type EndpointConfig, EndpointOrder, getMajority,
} from '../groups/group-config.js';
import type {FailoverParts} from './failover-parts.js';
import {createStallDetector} from './stall-detector.js';

/** Keeps what is known of a group's replicas fresh, and finds a primary that they no longer hear. */
export type ReplicaWatch = {
	/** Asks the replicas of which nothing was heard of late, and waits until it is time to look again. */
	look(): Promise<void>;
	/** When the primary was last seen to be followed, once it is held to be cut off from its group. */
	getCutOffSince(now: number): number | undefined;
};

/** What {@link createReplicaWatch} needs. */
export type ReplicaWatchOptions = Pick<FailoverParts, 'clock' | 'control' | 'knowledge' | 'settings' | 'getCfg' | 'getPollTimes' | 'stopped'> & {
	/** Called at each look that finds the primary cut off from its group. */
	onCutOff(): void;
};

/** Shortest pause between two looks, in milliseconds. */
const LEAST_PAUSE_MS = 20;

/** Creates the watch of one group's replicas. */
export function createReplicaWatch(options: ReplicaWatchOptions): ReplicaWatch {
	const {clock, control, knowledge, settings, stopped, getCfg} = options;
	const stall = createStallDetector(settings);

	const isDue = ({name, order}: EndpointConfig) => {
		const known = knowledge.get(name);
		const heardMs = known?.status && known.failures === 0 ? clock.now() - known.seenAt : Infinity;
		const dueMs = stall.behind ? settings.stallPollMs : options.getPollTimes().replicaMs;
		return order !== EndpointOrder.Stop && name !== knowledge.getPrimary()?.name && heardMs >= dueMs;
	};

	const poll = async () => {
		const due = getCfg().endpoints.filter(endpoint => isDue(endpoint));
		await Promise.allSettled(due.map(async ({name}) => control.status(name, settings.probeMs)));
	};

	const noteStall = () => {
		const cfg = getCfg();
		const primary = knowledge.getPrimary();
		const status = primary && knowledge.get(primary.name)?.status;
		if (!status) {
			return;
		}

		const answering = cfg.endpoints
			.filter(({name}) => name !== primary.name)
			.map(({name}) => knowledge.get(name))
			.map(known => known?.failures === 0 ? known.status : undefined)
			.filter(replica => replica !== undefined)
			.filter(replica => replica.term === status.term);
		stall.note({primary: status, replicas: answering, majority: getMajority(cfg)}, clock.now());
	};

	const getCutOffSince = (now: number) => {
		// Guards against deposing a new primary for what its predecessor was found guilty of: until the next look the
		// detector still tells of the old term. It showed as a second promotion half a second after the first.
		if (stall.term !== knowledge.highestTerm) {
			return undefined;
		}

		// With durability `primary` acknowledged writes may be on the primary alone; deposing it while it answers would lose them.
		return getCfg().durability === Durability.Majority ? stall.getCutOffSince(now) : undefined;
	};

	return {
		getCutOffSince,
		async look() {
			await poll();
			noteStall();
			const leftMs = stall.getPatienceLeftMs(clock.now());
			if (getCutOffSince(clock.now()) !== undefined) {
				options.onCutOff();
			}

			const pauseMs = leftMs > 0 ? Math.max(LEAST_PAUSE_MS, Math.min(settings.stallPollMs, leftMs)) : settings.stallPollMs;
			await clock.sleep(pauseMs, stopped);
		},
	};
}
