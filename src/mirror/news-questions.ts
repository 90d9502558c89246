import type {Log} from '../log/log.js';
import {isPeerError} from '../peers/peer-errors.js';
import type {Peers} from '../peers/peers.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import {EMPTY_ID, isSameContents, type ContentsId} from './contents-id.js';
import {createContentsReceiver} from './contents-receiver.js';
import type {NewsQuestion, StoreNews, UnfencedGroup} from './mirror-calls.js';
import type {MirrorCopy} from './mirror-copy.js';
import {formatPlaced, getGeneration} from './store-generation.js';

/** What a host answered, and what that came to. */
export type NewsAnswer = {
	readonly news: StoreNews;
	/** The copy was found complete at a time after the question. */
	readonly confirmed: boolean;
	/** The answer told something younger than what was known. */
	readonly isNew: boolean;
};

/** Asks other hosts for news of the store and takes over what they tell. */
export type NewsQuestions = {
	/** Asks one host for its next news, for which it waits `holdMs`; undefined where it did not answer. */
	ask(address: string, holdMs: number): Promise<NewsAnswer | undefined>;
	/** Has one host read the store; undefined where it did not answer. */
	askUrgently(address: string): Promise<NewsAnswer | undefined>;
};

/** What the questions need. */
export type NewsQuestionsOptions = {
	readonly peers: Peers;
	readonly copy: MirrorCopy;
	readonly elapsedClock: ElapsedClock;
	readonly log: Log;
	/** Hosts that should have asked this one and did not. */
	getUnheard(): readonly string[];
	/** Takes over that a group's endpoints showed no fence, as asked at the elapsed time `askedAt`. */
	noteUnfenced(group: string, epoch: number, askedAt: number): void;
};

/** A host that answers does so within this of the time for which it holds a question, in milliseconds: some hundred times the way there and back. */
const WAY_MS = 300;

/** Longest urgent question, in milliseconds: the host that is asked reads the store for its answer. */
const URGENT_MS = 400;

/** Creates the questions. */
export function createNewsQuestions({peers, copy, elapsedClock, log, getUnheard, noteUnfenced}: NewsQuestionsOptions): NewsQuestions {
	const receiver = createContentsReceiver(peers, log);
	/** What came last did not fit, so the whole is asked for. */
	let asksWhole = false;

	const getQuestion = (urgent: boolean, holdMs: number): NewsQuestion => {
		const contents: ContentsId = asksWhole ? EMPTY_ID : copy.contentsId;
		return {
			revision: copy.state.revision,
			contents,
			ageMs: copy.confirmedAt === undefined ? undefined : elapsedClock.elapsed() - copy.confirmedAt,
			urgent,
			holdMs,
			unheard: getUnheard(),
		};
	};

	/**
	 * Takes over that the answering host holds the same as this one did when it asked. Guards against what this host has read meanwhile: an entry that came and went again by the
	 * answering host's revision would stay here for as long as nothing else changes.
	 */
	const takeRevision = (revision: number, asked: ContentsId) => {
		const isUnchanged = isSameContents(copy.contentsId, asked);
		if (isUnchanged) {
			copy.adopt({...copy.state, revision});
		}

		return isUnchanged;
	};

	/** Whether the copy holds all that one complete up to `revision` does. What was confirmed in an earlier generation says nothing of this one. */
	const covers = (revision: number) => revision <= copy.state.revision && getGeneration(revision) === getGeneration(copy.state.revision);

	/** Whether the copy holds all that the answering host's does. */
	const takeContents = async (address: string, {revision, update}: StoreNews, asked: ContentsId): Promise<boolean> => {
		if (revision <= copy.state.revision) {
			return covers(revision);
		}

		if (!update) {
			return takeRevision(revision, asked);
		}

		const difference = await receiver.receive(address, update);
		const isTaken = difference !== undefined && copy.adoptDifference(difference, revision);
		asksWhole = difference !== undefined && !isTaken && revision > copy.state.revision;
		if (asksWhole) {
			log.info('an update of a peer does not fit what is held; the whole is asked for', {peer: address, revision: formatPlaced(revision), held: formatPlaced(copy.state.revision)});
		}

		return isTaken || covers(revision);
	};

	/**
	 * Takes a confirmation over. The answer left the other host no sooner than the time for which it held the question after this host asked; its ages count back from
	 * there, and so from before what they tell of.
	 */
	const takeTimes = ({heldMs, ageMs, withoutStoreMs}: StoreNews, askedAt: number) => {
		if (ageMs === undefined) {
			return undefined;
		}

		const leftAt = askedAt + heldMs;
		copy.noteConfirmed(leftAt - ageMs, withoutStoreMs === undefined ? undefined : leftAt - withoutStoreMs);
		return leftAt - ageMs;
	};

	const takeUnfenced = (unfenced: readonly UnfencedGroup[], leftAt: number) => {
		for (const {group, epoch, ageMs} of unfenced) {
			noteUnfenced(group, epoch, leftAt - ageMs);
		}
	};

	const take = async (address: string, news: StoreNews, askedAt: number, asked: ContentsId): Promise<NewsAnswer> => {
		const before = copy.confirmedAt ?? Number.NEGATIVE_INFINITY;
		const isComplete = await takeContents(address, news, asked);
		const confirmedAt = isComplete ? takeTimes(news, askedAt) : undefined;
		takeUnfenced(news.unfenced, askedAt + news.heldMs);
		return {
			news,
			confirmed: confirmedAt !== undefined && confirmedAt >= askedAt,
			isNew: (confirmedAt !== undefined && confirmedAt > before) || news.unfenced.length > 0,
		};
	};

	const ask = async (address: string, question: NewsQuestion) => {
		const askedAt = elapsedClock.elapsed();
		try {
			const news = await peers.call(address, 'mirror-confirm', question, question.holdMs + WAY_MS);
			return await take(address, news, askedAt, question.contents);
		} catch (err) {
			if (!isPeerError(err)) {
				throw err;
			}

			log.debug('a peer did not confirm', {peer: address, reason: err.message});
			return undefined;
		}
	};

	return {
		ask: async (address, holdMs) => ask(address, getQuestion(false, holdMs)),
		askUrgently: async address => ask(address, getQuestion(true, URGENT_MS)),
	};
}
