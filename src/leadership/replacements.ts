import type {Log} from '../log/log.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import {isPeerError} from '../peers/peer-errors.js';
import type {Peers} from '../peers/peers.js';
import type {DutyLease} from './duty-lease.js';
import {LEAD_CALL_TIMEOUT_MS} from './lead-calls.js';
import type {Replacement} from './replace-primary.js';

/** The replacements of primaries that this host has under way, and the ways to begin one. */
export type Replacements = {
	/** Groups whose primary is being replaced here. */
	readonly changing: ReadonlySet<string>;
	/** Whether none begins any more as long as another host could do it. */
	readonly retired: boolean;
	retire(): void;
	/** Replaces a primary here; true where that is under way already, or came to its end. */
	begin(replacement: Replacement): Promise<boolean>;
	/** Replaces a primary, or asks the holder of the duty to do it, where another host holds it; `epoch` is that of the record that the wish is about. */
	beginOrAsk(replacement: Replacement, epoch: number): Promise<void>;
};

/** What the replacements need. */
export type ReplacementsOptions = {
	readonly duty: DutyLease;
	readonly mirror: StoreMirror;
	readonly peers: Peers;
	readonly log: Log;
	readonly ownPeerAddress: string;
	/** Whether this host may begin a replacement, being known to all hosts that it has to wait for. */
	mayReplace(): boolean;
	replace(replacement: Replacement): Promise<boolean>;
};

/** Creates the replacements of a host that has none under way. */
export function createReplacements(options: ReplacementsOptions): Replacements {
	const {duty, mirror, peers, log} = options;
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
			const {taken} = await peers.call(address, 'lead-replace', {group, epoch, reason}, LEAD_CALL_TIMEOUT_MS);
			log.info('the holder of the duty was asked to replace a primary', {group, holder, taken});
		} catch (err) {
			if (!isPeerError(err)) {
				throw err;
			}

			log.info('the holder of the duty does not answer', {group, holder, reason: err.message});
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
			const holder = duty.getOtherHolder();
			const host = holder === undefined ? undefined : mirror.state.hosts.find(({name}) => name === holder);
			await (host && host.peerAddress !== options.ownPeerAddress ? ask(host.name, host.peerAddress, replacement, epoch) : begin(replacement));
		},
	};
}
