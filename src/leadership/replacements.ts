import type {Log} from '../log/log.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import {isPeerError} from '../peers/peer-errors.js';
import type {Peers} from '../peers/peers.js';
import type {FailoverLease} from './failover-lease.js';
import {LEADERSHIP_CALL_TIMEOUT_MS} from './leadership-calls.js';
import type {Replacement} from './replace-primary.js';

/** The primary replacements that this host is performing, and the functions that begin one. */
export type Replacements = {
	/** Groups whose primary is being replaced here. */
	readonly changing: ReadonlySet<string>;
	/** Whether this host begins no replacement while there is another host that could. */
	readonly retired: boolean;
	retire(): void;
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
	readonly log: Log;
	readonly ownPeerAddress: string;
	/** Whether this host may begin a replacement: all hosts that it has to wait for must know it. */
	mayReplace(): boolean;
	replace(replacement: Replacement): Promise<boolean>;
};

/** Creates the replacements of a host that is performing none. */
export function createReplacements(options: ReplacementsOptions): Replacements {
	const {failoverLease, mirror, peers, log} = options;
	const changing = new Set<string>();
	let retired = false;

	const hasOthers = () => mirror.state.hosts.some(host => !host.gone && host.peerAddress !== options.ownPeerAddress);

	const begin = async (replacement: Replacement): Promise<boolean> => {
		const {group} = replacement;
		if (changing.has(group)) {
			return true;
		}

		if ((retired && hasOthers()) || !options.mayReplace()) {
			return false;
		}

		changing.add(group);
		try {
			return await options.replace(replacement);
		} finally {
			changing.delete(group);
		}
	};

	const ask = async (holder: string, address: string, {group, reason}: Replacement, epoch: number) => {
		try {
			const {taken, declined} = await peers.call(address, 'lead-replace', {group, epoch, reason}, LEADERSHIP_CALL_TIMEOUT_MS);
			log.info('the failover coordinator was asked to replace a primary', {group, holder, taken, declined});
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
			return retired;
		},
		retire() {
			retired = true;
		},
		begin,
		async beginOrAsk(replacement, epoch) {
			const holder = failoverLease.getOtherHolder();
			const host = holder === undefined ? undefined : mirror.state.hosts.find(({name}) => name === holder);
			await (host && host.peerAddress !== options.ownPeerAddress ? ask(host.name, host.peerAddress, replacement, epoch) : begin(replacement));
		},
	};
}
