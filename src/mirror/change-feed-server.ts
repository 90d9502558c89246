import type {Peers} from '../peers/peers.js';
import type {Clock} from '../time/clock.js';
import {withinMs} from '../time/deadline.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import {isSameContents, type ContentsId} from './contents-id.js';
import {createContentsSender} from './contents-sender.js';
import type {TreeHost} from './host-tree.js';
import type {StoreUpdateRequest, StoreUpdate, UnfencedGroup} from './mirror-calls.js';
import type {MirrorCopy} from './mirror-copy.js';

/** Responds to the hosts that poll this one for store updates. */
export type ChangeFeedServer = {
	/** Responds to all held requests. */
	respond(): void;
	/** Responds to them after a short delay, so that what is reported meanwhile goes out in the same response. */
	respondSoon(): void;
	/** Keeps an update that was received from another host, to be forwarded as it is. */
	keepUpdate(key: string, bytes: Uint8Array): void;
};

/** What the server of the change feed needs. */
export type ChangeFeedServerOptions = {
	readonly peers: Peers;
	readonly copy: MirrorCopy;
	readonly clock: Clock;
	readonly elapsedClock: ElapsedClock;
	getChanging(): readonly string[];
	/** Returns the groups whose primaries remain valid because their endpoints, queried after the copy was last confirmed, showed no fence. */
	getUnfenced(now: number): readonly UnfencedGroup[];
	/** Reads the store for an urgent request, with the configuration if `readsRouting`. */
	readForOther(readsRouting: boolean): Promise<boolean>;
	/** Returns whether this host may let a host at that place in the tree wait for updates. */
	mayServe(place: TreeHost): boolean;
	/** Called with each request. */
	onRequest(from: string, request: StoreUpdateRequest): void;
};

/** Delay that batches several reports into one response, in milliseconds. */
const BATCH_DELAY_MS = 50;

/** Minimum by which a confirmation must be younger than the requesting host's to count as an update, in milliseconds: it covers the transmission time of the one that it has. */
const MIN_AGE_GAIN_MS = 100;

/** Creates the server and registers its handlers. */
export function createChangeFeedServer(options: ChangeFeedServerOptions): ChangeFeedServer {
	const {peers, copy, clock, elapsedClock} = options;
	const sender = createContentsSender();
	const waiting = new Set<() => void>();
	let isBatching = false;

	copy.onContents((state, id) => {
		sender.addContents(state, id);
	});

	const respond = () => {
		const held = [...waiting];
		waiting.clear();
		for (const resolve of held) {
			resolve();
		}
	};

	const respondAfterDelay = async () => {
		isBatching = true;
		await clock.sleep(BATCH_DELAY_MS);
		isBatching = false;
		respond();
	};

	/** Whether the copy is ahead of one of that revision. A large configuration may arrive after the other parts of its revision. */
	const isAhead = (revision: number, {routing}: ContentsId) =>
		copy.state.revision > revision || (copy.state.revision === revision && copy.contentsId.routing > routing);

	const hasUpdateFor = ({revision, ageMs, contents}: StoreUpdateRequest) => {
		const isYounger = copy.partsConfirmedAt !== undefined && (ageMs === undefined || elapsedClock.elapsed() - copy.partsConfirmedAt < ageMs - MIN_AGE_GAIN_MS);
		return isYounger || isAhead(revision, contents);
	};

	const waitForUpdate = async (holdMs: number) => {
		let resolveUpdate!: () => void;
		const updated = new Promise<void>(resolve => {
			resolveUpdate = resolve;
		});
		waiting.add(resolveUpdate);
		await withinMs(clock, holdMs, updated);
		waiting.delete(resolveUpdate);
	};

	const getAge = (at: number | undefined, now: number) => at === undefined ? undefined : Math.max(0, now - at);

	const getUpdate = (request: StoreUpdateRequest, receivedAt: number): StoreUpdate => {
		const now = elapsedClock.elapsed();
		const {state, contentsId} = copy;
		const lacks = isAhead(request.revision, request.contents) && !isSameContents(contentsId, request.contents);
		return {
			heldMs: now - receivedAt,
			ageMs: getAge(copy.partsConfirmedAt, now),
			withoutStoreMs: getAge(copy.storeConfirmedAt, now),
			revision: state.revision,
			routing: contentsId.routing,
			...(lacks && {update: sender.getFirstPiece(request.contents, request.place !== undefined)}),
			changing: options.getChanging(),
			unfenced: options.getUnfenced(now),
			...(!copy.isRoutingComplete && {wholeAgeMs: getAge(copy.routingConfirmedAt, now) ?? Number.POSITIVE_INFINITY}),
		};
	};

	peers.handle('mirror-confirm', async (request, from): Promise<StoreUpdate> => {
		const receivedAt = elapsedClock.elapsed();
		options.onRequest(from.address, request);
		if (!request.urgent && request.place && !options.mayServe(request.place)) {
			return {
				heldMs: 0, revision: 0, changing: [], unfenced: [], declined: true,
			};
		}

		if (request.urgent) {
			await withinMs(clock, request.holdMs, options.readForOther(request.readsRouting ?? false));
		} else if (!hasUpdateFor(request)) {
			await waitForUpdate(request.holdMs);
		}

		return getUpdate(request, receivedAt);
	});
	peers.handle('mirror-piece', async ({key, offset}) => ({bytes: sender.getPiece(key, offset)}));

	return {
		respond,
		keepUpdate: sender.keep,
		respondSoon() {
			if (!isBatching) {
				void respondAfterDelay();
			}
		},
	};
}
