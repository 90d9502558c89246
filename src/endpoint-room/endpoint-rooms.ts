import type {PoolHosts} from '../connection-sharing/pool-hosts.js';
import type {HostRecord} from '../leadership/leadership-record.js';
import type {CongestionWindow} from '../links/congestion-window.js';
import type {KnownEndpoint} from '../links/endpoint-directory.js';
import type {Log} from '../log/log.js';
import {isPeerError} from '../peers/peer-errors.js';
import type {Peers} from '../peers/peers.js';
import type {RegisteredEndpoint} from '../routes/routing.js';
import type {Clock} from '../time/clock.js';
import {createDeadlineTimer} from '../time/deadline-timer.js';
import type {RoomReport} from './room-calls.js';
import {createRoomReports, type RoomReports} from './room-reports.js';
import {createRoomShare, type RoomShare} from './room-share.js';
import {RoomWindow} from './room-window.js';
import {getReportIntervalMs, REPORT_INTERVAL_MS} from './report-interval.js';
import {getTotalRoom} from './total-room.js';

/** Divides the concurrency budget of each endpoint among its pool hosts. */
export type EndpointRooms = {
	/** Creates the window of the pool of this host's own connections to an endpoint. */
	createWindow(entry: RegisteredEndpoint): CongestionWindow;
	/** Returns the state of each budget of which this host has used a share. */
	list(): readonly RoomState[];
	stop(): Promise<void>;
};

/** The state of one endpoint's budget at this host. */
export type RoomState = {
	readonly endpointId: string;
	/** Number of statements that may be in flight over all pool hosts. */
	readonly total: number;
	/** Number of statements of this host that may be in flight. */
	readonly limit: number;
	/** Whether the limit was granted by the allocator; else it is the equal share. */
	readonly isGranted: boolean;
	/** Whether this host is the allocator, as far as it knows. */
	readonly isAllocator: boolean;
};

/** What the budgets need. */
export type EndpointRoomsOptions = {
	readonly poolHosts: PoolHosts;
	readonly peers: Peers;
	readonly clock: Clock;
	readonly log: Log;
	readonly ownPeerAddress: string;
	/** Budget of an endpoint as a multiple of its slots. */
	readonly roomFactor: number;
	getEndpoint(endpointId: string): KnownEndpoint | undefined;
	/** Returns whether the host at `ip:port` did not respond to this host recently; no place of a budget is kept for it. */
	isFailed(peerAddress: string): boolean;
	/** Called where an allocator does not respond, so that the next pool host is asked. */
	onTakeover(): void;
};

/** Timeout for a report, in milliseconds: it is over before the next report is due. */
const REPORT_TIMEOUT_MS = REPORT_INTERVAL_MS * 0.9;

/** Number of report intervals for which a grant is in force: two reports may be lost. */
const GRANT_INTERVALS = 3;

/** A host reports only while it has more statements in flight or waiting than this: each pool host may have one in flight without a report. */
const UNREPORTED_DEMAND = 1;

/** Number of reports without more demand after which a host stops reporting. */
const MAX_IDLE_REPORTS = 3;

type Demand = Pick<RoomReport, 'inFlight' | 'queued'>;

/** The budget of one endpoint at this host. */
type Room = {
	readonly entry: RegisteredEndpoint;
	readonly total: number;
	readonly share: RoomShare;
	readonly reports: RoomReports;
	/** Addresses of the pool hosts in order of rank, derived from `hosts`. */
	addresses: readonly string[];
	hosts: readonly HostRecord[];
	/** Steady time of the next report; undefined while the host does not report. */
	dueAt?: number;
	/** Whether there was more demand than may go unreported since the last report. */
	isBusy: boolean;
	idleReports: number;
	allocator?: string;
};

/** Creates the budgets; nothing is sent for an endpoint at which this host has no work. */
export function createEndpointRooms({poolHosts, peers, clock, log: parentLog, ownPeerAddress, roomFactor, getEndpoint, isFailed, onTakeover}: EndpointRoomsOptions): EndpointRooms {
	const log = parentLog.withPrefix('room: ');
	const rooms = new Map<string, Room>();
	const reporting = new Set<Room>();

	const dropRemoved = () => {
		for (const [endpointId, room] of rooms) {
			if (!getEndpoint(endpointId)) {
				rooms.delete(endpointId);
				reporting.delete(room);
			}
		}
	};

	const getRoom = (endpointId: string): Room | undefined => {
		const known = rooms.get(endpointId);
		if (known) {
			return known;
		}

		const entry = getEndpoint(endpointId)?.entry;
		if (!entry) {
			return undefined;
		}

		dropRemoved();
		const room: Room = {
			entry, total: getTotalRoom(entry.slots, roomFactor), share: createRoomShare(), reports: createRoomReports(), addresses: [], hosts: [], isBusy: false, idleReports: 0,
		};
		rooms.set(endpointId, room);
		return room;
	};

	const getAddresses = (room: Room) => {
		const hosts = poolHosts.getHosts(room.entry);
		if (room.hosts !== hosts) {
			room.hosts = hosts;
			room.addresses = hosts.map(({peerAddress}) => peerAddress);
		}

		return room.addresses;
	};

	const hasShare = (entry: RegisteredEndpoint) => poolHosts.isShared(entry) && poolHosts.isPoolHost(entry);

	const getEqualShare = (entry: RegisteredEndpoint) => Math.max(1, Math.floor(getTotalRoom(entry.slots, roomFactor) / Math.max(1, poolHosts.countHosts(entry))));

	/** Creates a function that returns this host's equal share of an endpoint's budget, or undefined where it has none; computed again after each change of the hosts. */
	const createEqualShare = (entry: RegisteredEndpoint) => {
		let hosts: readonly HostRecord[] | undefined;
		let equalShare: number | undefined;
		return () => {
			const current = poolHosts.getHosts(entry);
			if (hosts !== current) {
				hosts = current;
				equalShare = hasShare(entry) ? getEqualShare(entry) : undefined;
			}

			return equalShare;
		};
	};

	const getDemand = (room: Room): Demand => {
		const load = getEndpoint(room.entry.id)?.ownPool.getLoad(clock.now());
		return {inFlight: load?.inFlight ?? 0, queued: load?.queued ?? 0};
	};

	/** Returns the share that this host, as the allocator, grants to a host that has just reported. */
	const getShare = (room: Room, host: string, now: number) => {
		const running = getAddresses(room).filter(address => !room.share.isSkipped(address) && (address === ownPeerAddress || !isFailed(address)));
		return room.reports.getShare(host, running, room.total, now);
	};

	const noteAllocator = (room: Room, allocator: string) => {
		if (room.allocator !== undefined && room.allocator !== allocator) {
			log.info('another pool host allocates the budget of an endpoint', {
				endpoint: room.entry.id, allocator, formerly: room.allocator, isOwn: allocator === ownPeerAddress, total: room.total,
			});
		}

		room.allocator = allocator;
	};

	const send = async (room: Room, poolHost: string, demand: Demand, everyMs: number): Promise<number | undefined> => {
		try {
			const {limit} = await peers.call(poolHost, 'room-report', {
				endpointId: room.entry.id, ...demand, ...(everyMs !== REPORT_INTERVAL_MS && {everyMs}),
			}, REPORT_TIMEOUT_MS);
			return limit;
		} catch (err) {
			if (!isPeerError(err)) {
				throw err;
			}

			return undefined;
		}
	};

	/** Notes a report without a response; the next one follows after the shortest interval, at once where another pool host is asked. */
	const noteFailed = (room: Room, allocator: string, sentAt: number) => {
		const now = clock.now();
		const isSkipped = room.share.noteFailed(allocator, now);
		if (isSkipped) {
			onTakeover();
			log.warn('the allocator of the budget of an endpoint does not respond', {
				endpoint: room.entry.id, allocator, equalShare: getEqualShare(room.entry),
			});
		}

		if (room.dueAt !== undefined) {
			room.dueAt = isSkipped ? now : Math.max(now, sentAt + REPORT_INTERVAL_MS);
			setTimer();
		}
	};

	const probe = async (room: Room, poolHost: string, demand: Demand, everyMs: number) => {
		if (await send(room, poolHost, demand, everyMs) !== undefined) {
			room.share.noteResponding(poolHost);
		}
	};

	const report = async (room: Room, demand: Demand) => {
		const sentAt = clock.now();
		const everyMs = getReportIntervalMs(reporting.size);
		const addresses = getAddresses(room);
		const allocator = room.share.getAllocator(addresses);
		room.dueAt = sentAt + everyMs;
		if (allocator === undefined) {
			return;
		}

		noteAllocator(room, allocator);
		const skipped = room.share.takeProbe(addresses, sentAt);
		if (skipped !== undefined) {
			void probe(room, skipped, demand, everyMs);
		}

		const until = sentAt + (everyMs * GRANT_INTERVALS);
		if (allocator === ownPeerAddress) {
			room.reports.note(ownPeerAddress, {...demand, everyMs}, sentAt);
			room.share.noteGranted(getShare(room, ownPeerAddress, sentAt), until);
			return;
		}

		const limit = await send(room, allocator, demand, everyMs);
		if (limit === undefined) {
			noteFailed(room, allocator, sentAt);
		} else {
			room.share.noteGranted(limit, until);
		}
	};

	/** Reports where a report is due, and stops where there has been no demand for some reports. */
	const reportIfDue = (room: Room, now: number) => {
		if (room.dueAt === undefined || now < room.dueAt) {
			return;
		}

		const demand = getDemand(room);
		const wasBusy = room.isBusy;
		room.isBusy = demand.inFlight + demand.queued > UNREPORTED_DEMAND;
		room.idleReports = wasBusy || room.isBusy ? 0 : room.idleReports + 1;
		if (room.idleReports > MAX_IDLE_REPORTS || !hasShare(room.entry)) {
			reporting.delete(room);
			room.dueAt = undefined;
			return;
		}

		void report(room, demand);
	};

	const timer = createDeadlineTimer(clock, () => {
		for (const room of reporting) {
			reportIfDue(room, clock.now());
		}

		setTimer();
	});

	const setTimer = () => {
		let next = Number.POSITIVE_INFINITY;
		for (const {dueAt = Number.POSITIVE_INFINITY} of reporting) {
			next = Math.min(next, dueAt);
		}

		if (next < Number.POSITIVE_INFINITY) {
			timer.set(next);
		}
	};

	/** Begins to report where this host has more in flight or waiting than it may have unreported. */
	const noteWork = (entry: RegisteredEndpoint) => {
		const room = getRoom(entry.id);
		if (!room) {
			return;
		}

		const demand = getDemand(room);
		if (demand.inFlight + demand.queued <= UNREPORTED_DEMAND) {
			return;
		}

		room.isBusy = true;
		if (!reporting.has(room)) {
			room.idleReports = 0;
			reporting.add(room);
			void report(room, demand);
			setTimer();
		}
	};

	/**
	 * Responds to the report of another pool host with its share. A host that gets its own share from another allocator responds with the equal share: the other host does not reach that
	 * allocator, and two allocators would each divide the whole budget.
	 */
	const grant = (reported: RoomReport, host: string) => {
		const room = getRoom(reported.endpointId);
		if (!room) {
			return {};
		}

		const now = clock.now();
		const addresses = getAddresses(room);
		room.reports.note(host, reported, now);
		const isAllocator = room.share.getAllocator(addresses) === ownPeerAddress || !room.share.isGranted(now);
		return {limit: isAllocator ? getShare(room, host, now) : getEqualShare(room.entry)};
	};

	peers.handle('room-report', async (reported, from) => grant(reported, from.address));

	return {
		createWindow(entry) {
			const equalShare = createEqualShare(entry);
			return new RoomWindow({
				getLimit() {
					const share = equalShare();
					// A host that is no pool host opens connections of its own only where no pool host responds, as far as the endpoint allows.
					return share === undefined ? Number.POSITIVE_INFINITY : rooms.get(entry.id)?.share.getLimit(share, clock.now()) ?? share;
				},
				onServed() {
					if (!rooms.get(entry.id)?.isBusy && equalShare() !== undefined) {
						noteWork(entry);
					}
				},
			});
		},
		list() {
			const now = clock.now();
			return [...rooms.values()].filter(({entry}) => hasShare(entry)).map(room => ({
				endpointId: room.entry.id,
				total: room.total,
				limit: room.share.getLimit(getEqualShare(room.entry), now),
				isGranted: room.share.isGranted(now),
				isAllocator: room.share.getAllocator(getAddresses(room)) === ownPeerAddress,
			}));
		},
		async stop() {
			reporting.clear();
			timer.stop();
		},
	};
}
