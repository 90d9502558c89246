import type {SessionLink} from '../links/link-session.js';
import type {PoolConnections} from '../links/pool-connections.js';
import {hasEnded, type ScheduledRequest} from './scheduled-request.js';
import type {UrgencyOrder} from './urgency-order.js';

/** Fills the free places of a pool with waiting requests. */
export type PlaceFiller = {
	/** Fills the free places at the steady time `now`: with the request whose turn it is where its workspace has an idle connection, else by opening one for it. */
	fill(now: number): void;
	/** Gives a request an idle connection of its workspace; returns whether there is one. */
	tryServe(waiter: ScheduledRequest | undefined, now: number): boolean;
};

/** What a place filler needs. */
export type PlaceFillerOptions = {
	readonly connections: PoolConnections;
	readonly order: UrgencyOrder;
	readonly waiting: Iterable<ScheduledRequest> & {readonly size: number};
	/** Returns the expected time for opening a connection, in milliseconds. */
	getOpeningMs(): number;
	/** Called with a request that gets a connection; removes it from those that wait. */
	onConnection(waiter: ScheduledRequest, sessionLink: SessionLink, now: number): void;
	/** Called with a request whose caller has left, or whose time has passed; removes it from those that wait. */
	onEnded(waiter: ScheduledRequest, now: number): void;
	/** Called where a connection is being opened for a request, which goes on waiting. */
	onOpening(next: ScheduledRequest, now: number): void;
};

const NO_WORKSPACES: ReadonlySet<string | undefined> = new Set();

/**
 * Creates the place filler of a pool.
 *
 * It responds to many workspaces that share few connections and places: a place is given to the request whose turn it is, and is never left free while some request can use it.
 */
export function createPlaceFiller({connections, order, waiting, getOpeningMs, onConnection, onEnded, onOpening}: PlaceFillerOptions): PlaceFiller {
	const {idle, usage, policy} = connections;
	/** Set while places are being filled, with whether something changed meanwhile. */
	let filling: {again: boolean} | undefined;

	/** Returns the workspaces that have an idle connection; asked once for all waiting requests, since a pool has up to 50 of either. */
	const getIdleWorkspaces = () => {
		const workspaces = new Set<string | undefined>();
		for (const {sessionLink} of idle.all) {
			if (!sessionLink.link.closed) {
				workspaces.add(sessionLink.workspace);
			}
		}

		return workspaces;
	};

	/** Returns whether there is a free place, for any request and for a transaction, and who has an idle connection. */
	const getFree = () => {
		const mayServe = !connections.retired && waiting.size > 0 && connections.mayAcquire({single: true});
		return {mayServe, mayBegin: mayServe && connections.mayAcquire({single: false}), idleWorkspaces: mayServe ? getIdleWorkspaces() : NO_WORKSPACES};
	};

	/** Returns a request that an idle connection serves now, instead of opening one for the request whose turn it is. */
	const getBypass = (next: ScheduledRequest, {mayBegin, idleWorkspaces}: ReturnType<typeof getFree>, now: number) => {
		const openingMs = getOpeningMs();
		return idleWorkspaces.size === 0
			? undefined
			: order.getNext(waiting, now, waiter => (waiter.request.single || mayBegin) && idleWorkspaces.has(waiter.request.workspace) && order.mayBypass(waiter, next, openingMs, now));
	};

	const tryServe = (waiter: ScheduledRequest | undefined, now: number) => {
		const sessionLink = waiter && connections.takeIdle(waiter.request);
		if (sessionLink) {
			onConnection(waiter, sessionLink, now);
		}

		return sessionLink !== undefined;
	};

	/** Returns whether a connection is to be opened for a waiting request of the workspace: one that has none under way, and would wait too long for one of the workspace's own. */
	const needsOpening = (workspace: string | undefined, now: number) => {
		const ofWorkspace = [...waiting].map(({request}) => request).filter(request => request.workspace === workspace);
		const opening = usage.openingFor.filter(other => other === workspace).length;
		return policy.chooseOpenings(ofWorkspace.slice(opening), now).length > 0;
	};

	/** Fills the free places: with the request whose turn it is where its workspace has an idle connection, else by opening one for it. */
	const fillPlaces = (now: number) => {
		/** What can be opened no more during this call; only idle connections serve the requests concerned. */
		const exhausted = {all: false, workspaces: new Set<string | undefined>()};
		let free = getFree();
		const mayServe = ({request}: ScheduledRequest) => (request.single || free.mayBegin)
			&& ((!exhausted.all && !exhausted.workspaces.has(request.workspace)) || free.idleWorkspaces.has(request.workspace));
		while (waiting.size > 0 && free.mayServe && (!exhausted.all || free.idleWorkspaces.size > 0)) {
			const next = order.getNext(waiting, now, mayServe);
			if (!next) {
				return;
			}

			if (hasEnded(next, now)) {
				onEnded(next, now);
				continue;
			}

			if (tryServe(next, now) || tryServe(getBypass(next, free, now), now)) {
				free = getFree();
				continue;
			}

			const {workspace} = next.request;
			if (!needsOpening(workspace, now)) {
				exhausted.workspaces.add(workspace);
			} else if (connections.tryOpen(workspace)) {
				onOpening(next, now);
				free = getFree();
			} else {
				exhausted.all = true;
			}
		}
	};

	/**
	 * Fills the free places. Guards against serving one request twice: a connection that is cut while a place is filled reports its end at once, which would fill places within the fill.
	 */
	const fill = (now: number) => {
		if (filling) {
			filling.again = true;
			return;
		}

		filling = {again: true};
		while (filling.again) {
			filling.again = false;
			fillPlaces(now);
		}

		filling = undefined;
	};

	return {fill, tryServe};
}
