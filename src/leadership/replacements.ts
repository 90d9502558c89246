import type {Log} from '../log/log.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import {isPeerError} from '../peers/peer-errors.js';
import type {Peers} from '../peers/peers.js';
import type {Clock} from '../time/clock.js';
import type {FailoverLease} from './failover-lease.js';
import {LEADERSHIP_CALL_TIMEOUT_MS} from './leadership-calls.js';
import {notifyOtherHosts} from './notify-other-hosts.js';
import {ORDER_TIMEOUT_MS} from './promotion-orders.js';
import type {Replacement} from './replace-primary.js';
import {createStopTurn} from './stop-turn.js';

/** The primary replacements that this host is performing, and the functions that begin one. */
export type Replacements = {
	/** Groups whose primary is being replaced here. */
	readonly changing: ReadonlySet<string>;
	/** Whether this host is stopping, so that it leaves replacements to the other hosts. */
	readonly retired: boolean;
	/** Whether this host is replacing a primary, or still has to hand over the failover lease. */
	readonly active: boolean;
	/**
	 * Leaves replacements to the other hosts, since this host is stopping and ends at the steady time `endsAt`. The failover lease is handed over as soon as no
	 * replacement is under way, and by `endsAt` at the latest.
	 */
	retire(endsAt: number): void;
	/** Replaces a primary on this host; resolves to true if that is in progress already, or was completed. */
	begin(replacement: Replacement): Promise<boolean>;
	/** Replaces a primary, or requests the failover coordinator to do it if that is another host; `epoch` is that of the group's record on which the decision is based. */
	beginOrAsk(replacement: Replacement, epoch: number): Promise<void>;
};

/** What {@link createReplacements} needs. */
export type ReplacementsOptions = {
	readonly failoverLease: FailoverLease;
	readonly mirror: StoreMirror;
	readonly peers: Peers;
	readonly clock: Clock;
	readonly log: Log;
	readonly ownPeerAddress: string;
	/** Whether this host may begin a replacement: all hosts that it has to wait for must know it. */
	mayReplace(): boolean;
	replace(replacement: Replacement): Promise<boolean>;
};

/** Time before its end at which a stopping host releases the failover lease whatever is under way, in milliseconds: about fifty times what the store takes to respond. */
const LAST_RELEASE_MS = 200;

/** Time before its end from which a stopping host gives no order, in milliseconds, so that no order is in flight when it releases the failover lease. */
const LAST_ORDER_MS = ORDER_TIMEOUT_MS + LAST_RELEASE_MS;

/** Time for which a host that has released the failover lease still responds to the hosts that it has notified, in milliseconds: some round trips between zones. */
const NOTIFIED_MS = 50;

/** Creates the replacements of a host that is performing none. */
export function createReplacements(options: ReplacementsOptions): Replacements {
	const {failoverLease, mirror, peers, clock, log} = options;
	const changing = new Set<string>();
	const stopTurn = createStopTurn();
	let endsAt: number | undefined;
	let handOvers = 0;

	const hasOthers = () => mirror.state.hosts.some(host => !host.gone && host.peerAddress !== options.ownPeerAddress);

	/** Whether a stopping host leaves a replacement to the other hosts. */
	const isLeftToOthers = ({group}: Replacement) => {
		if (endsAt === undefined || !hasOthers()) {
			return false;
		}

		const epoch = mirror.state.leadership.get(group)?.epoch ?? 0;
		const isLeaseFree = changing.size === 0 && failoverLease.getOtherHolder() === undefined;
		return !stopTurn.isDue({
			group, epoch, isLeaseFree, endsAt,
		}, clock.now());
	};

	/**
	 * Prevents a group from being left without a replacement while the lease of a host that has ended runs out: no other host may act before that, and a primary that
	 * is leaving would stay in use.
	 */
	const handOver = async () => {
		handOvers++;
		try {
			if (await failoverLease.release()) {
				notifyOtherHosts(options);
				await clock.sleep(NOTIFIED_MS);
			}
		} finally {
			handOvers--;
		}
	};

	const handOverIfIdle = async () => {
		if (endsAt !== undefined && changing.size === 0) {
			await handOver();
		}
	};

	/** Hands the lease over shortly before this host ends, while a replacement is still under way; the next host continues that one. */
	const handOverAtTheEnd = async (end: number) => {
		await clock.sleep(end - LAST_ORDER_MS - clock.now());
		failoverLease.close();
		await clock.sleep(end - LAST_RELEASE_MS - clock.now());
		await handOver();
	};

	const begin = async (replacement: Replacement): Promise<boolean> => {
		const {group} = replacement;
		if (changing.has(group)) {
			return true;
		}

		if (isLeftToOthers(replacement) || !options.mayReplace()) {
			return false;
		}

		changing.add(group);
		try {
			return await options.replace(replacement);
		} finally {
			changing.delete(group);
			await handOverIfIdle();
		}
	};

	const ask = async (holder: string, address: string, {group, reason}: Replacement, epoch: number) => {
		try {
			const {taken, declined} = await peers.call(address, 'lead-replace', {group, epoch, reason}, LEADERSHIP_CALL_TIMEOUT_MS);
			log.info('the failover coordinator was asked to replace a primary', {
				group, holder, taken, declined,
			});
		} catch (err) {
			if (!isPeerError(err)) {
				throw err;
			}

			log.info('the failover coordinator does not respond', {group, holder, reason: err.message});
		}
	};

	return {
		changing,
		get retired() {
			return endsAt !== undefined;
		},
		get active() {
			return changing.size > 0 || handOvers > 0;
		},
		retire(at) {
			endsAt = at;
			void handOverIfIdle();
			void handOverAtTheEnd(at);
		},
		begin,
		async beginOrAsk(replacement, epoch) {
			const holder = failoverLease.getOtherHolder();
			const host = holder === undefined ? undefined : mirror.state.hosts.find(({name}) => name === holder);
			await (host && host.peerAddress !== options.ownPeerAddress ? ask(host.name, host.peerAddress, replacement, epoch) : begin(replacement));
		},
	};
}
