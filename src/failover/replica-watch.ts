import {
	Durability, type EndpointConfig, EndpointOrder, getMajority,
} from '../groups/group-config.js';
import type {FailoverParts} from './failover-parts.js';
import {createStallDetector} from './stall-detector.js';

/** Keeps the known status of a group's replicas current, and detects a primary whose entries no longer reach them. */
export type ReplicaWatch = {
	/** Polls the replicas whose last status is too old; resolves when the next poll is due. */
	poll(): Promise<void>;
	/** Returns since when no replica has followed the primary where it is cut off from its group, otherwise undefined. */
	getCutOffSince(now: number): number | undefined;
};

/** Options of {@link createReplicaWatch}. */
export type ReplicaWatchOptions = Pick<FailoverParts, 'clock' | 'control' | 'knowledge' | 'settings' | 'getCfg' | 'getPollTimes' | 'stopped'> & {
	/** Called after each poll that finds the primary cut off from its group. */
	onCutOff(): void;
};

/** Minimum pause between two polls, in milliseconds. */
const MIN_POLL_INTERVAL_MS = 20;

/** Creates the watch of one group's replicas. */
export function createReplicaWatch(options: ReplicaWatchOptions): ReplicaWatch {
	const {clock, control, knowledge, settings, stopped, getCfg} = options;
	const stall = createStallDetector(settings);

	const isDue = ({name, order}: EndpointConfig) => {
		const known = knowledge.get(name);
		const silentMs = known?.status && known.failures === 0 ? clock.now() - known.seenAt : Infinity;
		const dueMs = stall.behind ? settings.stallPollMs : options.getPollTimes().replicaMs;
		return order !== EndpointOrder.Stop && name !== knowledge.getPrimary()?.name && silentMs >= dueMs;
	};

	const pollDue = async () => {
		const due = getCfg().endpoints.filter(endpoint => isDue(endpoint));
		await Promise.allSettled(due.map(async ({name}) => control.status(name, settings.probeMs)));
	};

	const recordPositions = () => {
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
		stall.record({primary: status, replicas: answering, majority: getMajority(cfg)}, clock.now());
	};

	const getCutOffSince = (now: number) => {
		// Until the next poll the detector still reports on the old term. Without this check a new primary was deposed because
		// its predecessor had been cut off: a second promotion half a second after the first.
		if (stall.term !== knowledge.highestTerm) {
			return undefined;
		}

		// With durability `primary`, acknowledged writes may be on the primary alone; deposing it while it answers would lose them.
		return getCfg().durability === Durability.Majority ? stall.getCutOffSince(now) : undefined;
	};

	return {
		getCutOffSince,
		async poll() {
			await pollDue();
			recordPositions();
			const leftMs = stall.getMsUntilCutOff(clock.now());
			if (getCutOffSince(clock.now()) !== undefined) {
				options.onCutOff();
			}

			const pauseMs = leftMs > 0 ? Math.max(MIN_POLL_INTERVAL_MS, Math.min(settings.stallPollMs, leftMs)) : settings.stallPollMs;
			await clock.sleep(pauseMs, stopped);
		},
	};
}
