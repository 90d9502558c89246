import type {Peers} from '../peers/peers.js';
import type {Clock} from '../time/clock.js';
import {withinMs} from '../time/deadline.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import {isSameContents} from './contents-id.js';
import {createContentsSender} from './contents-sender.js';
import type {NewsQuestion, StoreNews, UnfencedGroup} from './mirror-calls.js';
import type {MirrorCopy} from './mirror-copy.js';

/** Answers the hosts that ask this one for news of the store. */
export type NewsAnswers = {
	/** Answers all questions that wait. */
	tell(): void;
	/** Answers them soon: what comes within the next moments is told with it. */
	tellSoon(): void;
};

/** What the answers need. */
export type NewsAnswersOptions = {
	readonly peers: Peers;
	readonly copy: MirrorCopy;
	readonly clock: Clock;
	readonly elapsedClock: ElapsedClock;
	getChanging(): readonly string[];
	/** Groups whose primaries hold by what their endpoints showed after the copy was last confirmed. */
	getUnfenced(now: number): readonly UnfencedGroup[];
	/** Reads the store for an urgent question. */
	readAfterNow(): Promise<boolean>;
	/** Told of each question. */
	onQuestion(from: string, question: NewsQuestion): void;
};

/** What is told soon waits for so long, in milliseconds, for what else there will be to tell. */
const GATHER_MS = 50;

/** A confirmation younger than the asking host's by less is no news to it, in milliseconds: the way of the one that it has. */
const SAME_AGE_MS = 100;

/** Creates the answers. */
export function createNewsAnswers(options: NewsAnswersOptions): NewsAnswers {
	const {peers, copy, clock, elapsedClock} = options;
	const sender = createContentsSender();
	const waiting = new Set<() => void>();
	let isGathering = false;

	copy.onContents((state, id) => {
		sender.note(state, id);
	});

	const tell = () => {
		const told = [...waiting];
		waiting.clear();
		for (const resolve of told) {
			resolve();
		}
	};

	const gather = async () => {
		isGathering = true;
		await clock.sleep(GATHER_MS);
		isGathering = false;
		tell();
	};

	const hasNewsFor = ({revision, ageMs}: NewsQuestion) => {
		const isYounger = copy.confirmedAt !== undefined && (ageMs === undefined || elapsedClock.elapsed() - copy.confirmedAt < ageMs - SAME_AGE_MS);
		return isYounger || copy.state.revision > revision;
	};

	const waitForNews = async (holdMs: number) => {
		let resolveNews!: () => void;
		const news = new Promise<void>(resolve => {
			resolveNews = resolve;
		});
		waiting.add(resolveNews);
		await withinMs(clock, holdMs, news);
		waiting.delete(resolveNews);
	};

	const getAge = (at: number | undefined, now: number) => at === undefined ? undefined : Math.max(0, now - at);

	const getNews = (question: NewsQuestion, cameAt: number): StoreNews => {
		const now = elapsedClock.elapsed();
		const {state, contentsId} = copy;
		const lacks = state.revision > question.revision && !isSameContents(contentsId, question.contents);
		return {
			heldMs: now - cameAt,
			ageMs: getAge(copy.confirmedAt, now),
			withoutStoreMs: getAge(copy.storeConfirmedAt, now),
			revision: state.revision,
			...(lacks && {update: sender.getFirstPiece(question.contents)}),
			changing: options.getChanging(),
			unfenced: options.getUnfenced(now),
		};
	};

	peers.handle('mirror-confirm', async (question, from) => {
		const cameAt = elapsedClock.elapsed();
		options.onQuestion(from.address, question);
		if (question.urgent) {
			await withinMs(clock, question.holdMs, options.readAfterNow());
		} else if (!hasNewsFor(question)) {
			await waitForNews(question.holdMs);
		}

		return getNews(question, cameAt);
	});
	peers.handle('mirror-piece', async ({key, offset}) => ({bytes: sender.getPiece(key, offset)}));

	return {
		tell,
		tellSoon() {
			if (!isGathering) {
				void gather();
			}
		},
	};
}
