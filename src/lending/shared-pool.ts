import {createEndpointHealth, Suspicion, type EndpointHealth} from '../links/endpoint-health.js';
import type {EndpointCommand, EndpointRequest, EndpointStatus} from '../links/endpoint-link.js';
import type {EndpointPool, AcquireRequest} from '../links/endpoint-pool.js';
import type {SessionLink} from '../links/link-session.js';
import {getWeight, hashName, type NameHash} from '../membership/rendezvous.js';
import type {UnreachableHosts} from '../membership/unreachable-hosts.js';
import {isPeerError} from '../peers/peer-errors.js';
import type {Peers} from '../peers/peers.js';
import type {RegisteredEndpoint} from '../routes/routing.js';
import type {Clock} from '../time/clock.js';
import {createBorrowedLink, type BorrowedLink} from './borrowed-link.js';
import type {Lenders} from './lenders.js';
import {LENDER_WAIT_MS, LENDER_WAY_MS} from './lender-waits.js';
import {LoanRefusal, type LoanExchange} from './lending-calls.js';
import {createReadThrough} from './read-through.js';

/** What a pool over own and borrowed connections needs. */
export type SharedPoolOptions = {
	readonly entry: RegisteredEndpoint;
	/** This host's own connections to the endpoint. */
	readonly ownPool: EndpointPool;
	readonly lenders: Lenders;
	/** Lenders that did not answer of late, over all endpoints. */
	readonly unreachable: UnreachableHosts;
	readonly peers: Peers;
	readonly clock: Clock;
	readonly ownPeerAddress: string;
};

/**
 * Longest wait for an own connection where no lender that was asked lends, in milliseconds: as long as one of them would be given. Guards against a statement that waits at
 * a full endpoint until its time is up while a lender that was not asked has connections: those that refused are passed over in the next round, so it has its turn.
 */
const OWN_WAIT_MS = LENDER_WAIT_MS;

/** An endpoint that no lender reaches is taken to be gone for so long, in milliseconds; then lenders are asked again. */
const UNREACHABLE_FOR_MS = 250;

/** What asking one lender brought. */
type Asked = BorrowedLink | LoanRefusal | undefined;

/**
 * Creates a pool that lends own connections where this host keeps some, and borrows them from hosts that do where it keeps none.
 *
 * Guards against an endpoint's few connections being split among many hosts: each would have less than one, and a host with one is blocked by a
 * transaction while others' stand idle. Where no lender answers, the host opens its own as far as the endpoint lets it.
 */
export function createSharedPool({entry, ownPool, lenders, unreachable, peers, clock, ownPeerAddress}: SharedPoolOptions): EndpointPool {
	const borrowed = new Map<SessionLink, BorrowedLink>();
	const heard = createEndpointHealth();
	let unreachableUntil = Number.NEGATIVE_INFINITY;
	let waiting = 0;
	let turns = 0;

	const keepsOwn = () => lenders.keepsOwn(entry);

	const borrowedHealth: EndpointHealth = {
		...heard,
		get heardAt() {
			return heard.heardAt;
		},
		get owesSince() {
			return undefined;
		},
		getSuspicion: now => now < unreachableUntil ? Suspicion.Refused : undefined,
	};

	const noteHeard = () => {
		unreachableUntil = Number.NEGATIVE_INFINITY;
		heard.noteReceived(clock.now());
	};

	/**
	 * Lenders to ask, in order: those of the own zone, then one farther away, should all in the zone be cut off from the endpoint. By turns, or where the connection is for a
	 * workspace in the workspace's own order, so that its statements meet where it has connections.
	 */
	const getOrder = (workspace: string | undefined): readonly string[] => {
		const now = clock.now();
		const near: string[] = [];
		const far: string[] = [];
		for (const {peerAddress, availabilityZone} of lenders.getKeepers(entry)) {
			if (peerAddress !== ownPeerAddress && !unreachable.has(peerAddress, now)) {
				(availabilityZone === lenders.availabilityZone ? near : far).push(peerAddress);
			}
		}

		if (workspace !== undefined) {
			const hash = hashName(workspace);
			return [...rank(near, hash), ...rank(far, hash).slice(0, 1)];
		}

		turns++;
		return [...rotate(near, turns), ...rotate(far, turns).slice(0, 1)];
	};

	const askLender = async (lender: string, wish: AcquireRequest): Promise<Asked> => {
		const waitMs = Math.min(LENDER_WAIT_MS, wish.until - clock.now());
		try {
			const answer = await peers.call(lender, 'loan-open', {
				endpointId: entry.id, priority: wish.priority, waitMs, values: [...wish.values], workspace: wish.workspace, single: wish.single, least: wish.least,
			}, waitMs + LENDER_WAY_MS);
			unreachable.delete(lender);
			if ('refused' in answer) {
				return answer.refused;
			}

			return createBorrowedLink({
				peers, lender, loan: answer.loan, single: wish.single, onHeard: noteHeard,
			});
		} catch (err) {
			if (!isPeerError(err)) {
				throw err;
			}

			unreachable.add(lender, clock.now());
			return undefined;
		}
	};

	/**
	 * Asks an endpoint by way of a lender; undefined where no status came so.
	 *
	 * Guards against a replica that is left out of the choice of a successor since the one lender that was asked has died: what it alone holds would be lost.
	 */
	const askThrough = async (lender: string, command: EndpointCommand, timeoutMs: number): Promise<EndpointStatus | undefined> => {
		try {
			// The lender answers before this host stops waiting, also for an endpoint that is silent: else it would itself pass for dead.
			const endpointMs = Math.min(LENDER_WAIT_MS, timeoutMs / 2);
			const {status} = await peers.call(lender, 'loan-ask', {endpointId: entry.id, command, timeoutMs: endpointMs}, timeoutMs);
			return status;
		} catch (err) {
			if (!isPeerError(err)) {
				throw err;
			}

			unreachable.add(lender, clock.now());
			return undefined;
		}
	};

	/** Asks each lender once; the reason of the last one that answered where none lends. */
	const askAll = async (wish: AcquireRequest): Promise<Asked> => {
		let last: LoanRefusal | undefined;
		for (const lender of getOrder(wish.workspace)) {
			if (clock.now() >= wish.until) {
				break;
			}

			const asked = await askLender(lender, wish);
			if (typeof asked === 'object') {
				return asked;
			}

			if (asked === LoanRefusal.Stopping) {
				unreachable.add(lender, clock.now());
				continue;
			}

			last = asked === LoanRefusal.Busy ? asked : last ?? asked;
		}

		return last;
	};

	const noteUnreachable = () => {
		unreachableUntil = clock.now() + UNREACHABLE_FOR_MS;
	};

	/** Runs a read on an own connection; undefined where none came free. */
	const runOnOwn = async (wish: AcquireRequest, needed: LoanExchange['needed'], request: EndpointRequest) => {
		const own = await ownPool.acquire({...wish, until: Math.min(wish.until, clock.now() + OWN_WAIT_MS)});
		if (!own) {
			return undefined;
		}

		try {
			own.adapt({values: new Map(needed?.values), prepared: needed?.prepared});
			return await own.link.exchange(request);
		} finally {
			ownPool.release(own);
		}
	};

	const readThrough = (wish: AcquireRequest): SessionLink => {
		const sessionLink = createReadThrough({
			endpointId: entry.id, wish, peers, unreachable, clock, getOrder: () => getOrder(wish.workspace), onHeard: noteHeard, onUnreachable: noteUnreachable,
			runOnOwn: async (needed, request) => runOnOwn(wish, needed, request),
		});
		borrowed.set(sessionLink, {...sessionLink, giveBack() {}}); // eslint-disable-line @typescript-eslint/no-empty-function
		return sessionLink;
	};

	const borrow = async (wish: AcquireRequest): Promise<SessionLink | undefined> => {
		while (clock.now() < wish.until) {
			const asked = await askAll(wish);
			if (typeof asked === 'object') {
				borrowed.set(asked, asked);
				return asked;
			}

			if (asked === undefined) {
				const until = Math.min(wish.until, clock.now() + OWN_WAIT_MS);
				const own = await ownPool.acquire({...wish, until});
				// One that gave up before its time takes the endpoint to be gone.
				if (own !== undefined || clock.now() < until) {
					return own;
				}

				continue;
			}

			if (asked === LoanRefusal.Unreachable) {
				noteUnreachable();
				return undefined;
			}
		}

		return undefined;
	};

	return {
		target: ownPool.target,
		get health() {
			return keepsOwn() ? ownPool.health : borrowedHealth;
		},
		get lent() {
			return ownPool.lent + borrowed.size;
		},
		get waiting() {
			return ownPool.waiting + waiting;
		},
		get open() {
			return ownPool.open;
		},
		async acquire(wish) {
			if (keepsOwn()) {
				return ownPool.acquire(wish);
			}

			if (wish.read) {
				return readThrough(wish);
			}

			waiting++;
			try {
				return await borrow(wish);
			} finally {
				waiting--;
			}
		},
		release(sessionLink) {
			const loan = borrowed.get(sessionLink);
			if (!loan) {
				ownPool.release(sessionLink);
				return;
			}

			borrowed.delete(sessionLink);
			loan.giveBack();
		},
		async ask(command, timeoutMs) {
			if (keepsOwn()) {
				return ownPool.ask(command, timeoutMs);
			}

			const until = clock.now() + timeoutMs;
			for (const lender of getOrder(undefined)) {
				const status = await askThrough(lender, command, Math.min(LENDER_WAIT_MS + LENDER_WAY_MS, until - clock.now()));
				if (status) {
					noteHeard();
					return status;
				}
			}

			return ownPool.ask(command, Math.max(1, until - clock.now()));
		},
		keep() {
			ownPool.keep();
		},
		retire() {
			ownPool.retire();
		},
	};
}

function rank(addresses: readonly string[], workspace: NameHash): readonly string[] {
	return addresses
		.map(address => ({address, weight: getWeight(workspace, hashName(address))}))
		.toSorted((left, right) => right.weight - left.weight)
		.map(({address}) => address);
}

function rotate<T>(list: readonly T[], by: number): readonly T[] {
	const at = list.length === 0 ? 0 : by % list.length;
	return [...list.slice(at), ...list.slice(0, at)];
}
