import {PlatformError} from '../object-store/platform-errors.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import type {Log} from '../log/log.js';
import type {StoreNews} from './mirror-calls.js';
import type {MirrorCopy} from './mirror-copy.js';
import {createPeerChoice} from './peer-choice.js';
import {formatPlaced} from './store-generation.js';

/** Confirms the copy by what other hosts say, where the store does not answer this one. */
export type PeerHelp = {
	/** Asks other hosts; true where one was confirmed by the store after now, or all of them together confirm. */
	ask(): Promise<boolean>;
};

/** What the help needs. */
export type PeerHelpOptions = {
	readonly copy: MirrorCopy;
	readonly elapsedClock: ElapsedClock;
	readonly log: Log;
	readonly ownPeerAddress: string;
	/** Groups that this host is changing, or may have changed without knowing. */
	getChanging(): readonly string[];
	/** Addresses of the hosts to ask. */
	getOthers(): readonly string[];
	/** Asks one host urgently and takes over what it says; undefined where it did not answer. */
	askPeer(address: string): Promise<{readonly news: StoreNews; readonly confirmed: boolean} | undefined>;
};

/**
 * A host that the store has not confirmed for so long goes on no further by the word of the other hosts, or of the endpoints, in milliseconds:
 * later its own record may be deleted as that of a host that is gone, and hosts that it does not know may replace primaries. Outages of 3 to
 * 9 s are ordinary; and as long as a dead host's record stays, each replacement waits for it.
 */
export const LONGEST_WITHOUT_STORE_MS = 9000;

/** Creates the help. */
export function createPeerHelp(options: PeerHelpOptions): PeerHelp {
	const {copy, elapsedClock, log} = options;
	const choosePeers = createPeerChoice(options.ownPeerAddress);

	/**
	 * Guards calm traffic in an outage of the store. A change of primary begins with an update of the store by a
	 * registered host. Where every registered host answered, after the question, that it has no such update under way
	 * and holds nothing newer, none had begun at the time of asking; and any that begins later waits for this host's
	 * acknowledgement, or for the end of what this confirmation is good for.
	 *
	 * A host that is not asked could begin one: one that is marked as gone and has come back, or one that registered since this host
	 * read the store. So nobody may be marked, and the store must have been read lately: a new host waits for longer before it replaces anything.
	 */
	const isUnanimous = (answers: ReadonlyArray<StoreNews | undefined>, revision: number) =>
		copy.state.hosts.length > 0
		&& copy.state.hosts.every(host => !host.gone)
		&& elapsedClock.elapsed() - (copy.storeConfirmedAt ?? Number.NEGATIVE_INFINITY) < LONGEST_WITHOUT_STORE_MS
		&& copy.state.revision === revision
		&& options.getChanging().length === 0
		&& answers.every(answer => answer?.revision === revision && answer.changing.length === 0);

	return {
		async ask() {
			const all = options.getOthers();
			const others = choosePeers(all);
			const askedAt = elapsedClock.elapsed();
			const {revision} = copy.state;
			const questions = others.map(async address => options.askPeer(address));
			const firstConfirmed = Promise.any(questions.map(async question => {
				const answer = await question;
				return answer?.confirmed === true || throwNotConfirmed();
			}));
			if (await firstConfirmed.catch(() => false)) {
				return true;
			}

			const answers = await Promise.all(questions);
			if (others.length > 0 && others.length === all.length && isUnanimous(answers.map(answer => answer?.news), revision)) {
				log.info('every host confirms that no primary is being changed', {revision: formatPlaced(revision), hosts: others.length + 1});
				copy.noteConfirmed(askedAt);
				return true;
			}

			return false;
		},
	};
}

function throwNotConfirmed(): never {
	throw new PlatformError('a peer did not confirm');
}
