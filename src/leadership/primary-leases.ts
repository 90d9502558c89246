import type {SleepSignal} from '../time/sleep-alarm.js';
import {MAX_WITHOUT_STORE_MS} from '../mirror/peer-confirmation.js';
import type {UnfencedGroup} from '../mirror/mirror-calls.js';
import {MAX_ROUTING_LAG_MS, type StoreMirror} from '../mirror/store-mirror.js';
import {isInCurrentGeneration, LeadershipPhase, type LeadershipRecord} from './leadership-record.js';

/** The right of this host to use a primary for a limited time. */
export type PrimaryLease = Pick<LeadershipRecord, 'group' | 'primaryId' | 'term' | 'epoch' | 'start'>;

/** The primary leases that this host holds. */
export type PrimaryLeases = {
	/** Returns the lease under which new work may begin; undefined if none is valid at the elapsed time `now`. */
	get(group: string, now: number): PrimaryLease | undefined;
	/** Whether the lease under which work began is still valid at the elapsed time `now`, at which the response has arrived. */
	holds(lease: PrimaryLease, now: number): boolean;
	/** Whether the lease was revoked or a later epoch is known, so that no later confirmation can make it valid again. */
	isSuperseded(lease: PrimaryLease): boolean;
	/** Records that no endpoint of the group that could be promoted reported a fence, in responses to requests sent at the elapsed time `askedAt`. */
	noteUnfenced(group: string, epoch: number, askedAt: number): void;
	/** Returns the groups whose lease was renewed by their endpoints after the last confirmation, with the age of each lease at the elapsed time `now`. */
	getUnfenced(now: number): readonly UnfencedGroup[];
	/** Returns the elapsed time from which the lease of the group's steady primary runs; undefined if there never was one. */
	getAskedAt(group: string): number | undefined;
	/** Returns the groups whose lease was revoked for an epoch that the copy of the store does not contain yet. */
	getOutdated(): readonly string[];
	/** Refuses leases below `epoch` to new work. Work in progress may still finish under its own lease. */
	pause(group: string, epoch: number): void;
	/** Revokes all leases below `epoch` permanently. */
	revoke(group: string, epoch: number): void;
	/** Resolves after the next change of leases or of the copy of the store, or when the signal aborts. */
	changed(signal: SleepSignal): Promise<void>;
};

/** What {@link createPrimaryLeases} needs. */
export type PrimaryLeasesOptions = {
	readonly mirror: StoreMirror;
	/** This host's own address, as registered. A host that is not registered is not asked to give up its leases before a primary is replaced. */
	readonly ownPeerAddress: string;
	/** Whether each host that continues without the store knew this one at the elapsed time `at`. */
	isKnownToAll(at: number): boolean;
};

/**
 * Duration of a primary lease in milliseconds of elapsed time, counted from the request for the confirmation that the store has a steady primary.
 *
 * A host that replaces a primary waits this long if another host does not acknowledge, so a failover with a dead host takes that much longer.
 * A store outage shorter than this interrupts nothing; outages of 3 to 6 s are common.
 */
export const PRIMARY_LEASE_MS = 3000;

/** Creates the leases of a host that holds none yet. */
export function createPrimaryLeases({mirror, ownPeerAddress, isKnownToAll}: PrimaryLeasesOptions): PrimaryLeases {
	const pausedBelow = new Map<string, number>();
	const revokedBelow = new Map<string, number>();
	let waiters: Array<() => void> = [];

	const notifyWaiters = () => {
		const woken = waiters;
		waiters = [];
		for (const resolve of woken) {
			resolve();
		}
	};

	/** By group, the start of the latest lease and its epoch: the latest time at which a request was sent that confirmed a steady primary. */
	const lastSteady = new Map<string, {readonly epoch: number; readonly askedAt: number}>();

	const noteSteady = ({group, epoch}: LeadershipRecord, askedAt: number) => {
		const known = lastSteady.get(group);
		if (!known || epoch > known.epoch || askedAt > known.askedAt) {
			lastSteady.set(group, {epoch, askedAt});
		}
	};

	mirror.onChange(() => {
		for (const record of mirror.state.leadership.values()) {
			if (record.phase === LeadershipPhase.Steady && mirror.partsConfirmedAt !== undefined && isInCurrentGeneration(record, mirror.state.revision)) {
				noteSteady(record, mirror.partsConfirmedAt);
			}
		}

		notifyWaiters();
	});

	/** Guards against new work under routes that may have been dropped: a later configuration has not arrived for long. */
	const isRoutingOverdue = () => !mirror.isRoutingComplete
		&& (mirror.partsConfirmedAt ?? 0) - (mirror.routingConfirmedAt ?? mirror.partsConfirmedAt ?? 0) > MAX_ROUTING_LAG_MS;

	const isRegistered = () => mirror.state.hosts.some(host => host.peerAddress === ownPeerAddress && !host.gone);

	const isUnexpired = (group: string, epoch: number, now: number) => {
		const steady = lastSteady.get(group);
		return steady?.epoch === epoch && now < steady.askedAt + PRIMARY_LEASE_MS;
	};

	/**
	 * Whether responses of endpoints to requests sent at `askedAt` may renew a lease. Prevents a host from continuing that no other host knows:
	 * one whose registration was new when the store was lost, and is missing after the store was restored from a backup.
	 */
	const mayRenewFromEndpoints = (askedAt: number) => {
		const confirmedAt = mirror.storeConfirmedAt;
		return confirmedAt !== undefined && askedAt - confirmedAt < MAX_WITHOUT_STORE_MS && isKnownToAll(confirmedAt);
	};

	const getSteady = (group: string, now: number) => {
		const record = mirror.state.leadership.get(group);
		const usable = record?.phase === LeadershipPhase.Steady && record.epoch >= (revokedBelow.get(group) ?? 0);
		return usable && isUnexpired(group, record.epoch, now) && isRegistered() ? record : undefined;
	};

	const raiseFloor = (floors: Map<string, number>, group: string, epoch: number) => {
		floors.set(group, Math.max(floors.get(group) ?? 0, epoch));
	};

	return {
		get(group, now) {
			const record = getSteady(group, now);
			return record && !isRoutingOverdue() && record.epoch >= (pausedBelow.get(group) ?? 0) ? record : undefined;
		},
		holds({group, epoch}, now) {
			// A record in the changing phase does not end a lease yet: the host that changes the group waits for this host, or until the lease has expired.
			const isRevoked = epoch < (revokedBelow.get(group) ?? 0);
			return !isRevoked && isUnexpired(group, epoch, now) && isRegistered();
		},
		isSuperseded(lease) {
			const record = mirror.state.leadership.get(lease.group);
			return (record !== undefined && record.epoch > lease.epoch) || lease.epoch < (revokedBelow.get(lease.group) ?? 0);
		},
		noteUnfenced(group, epoch, askedAt) {
			const steady = lastSteady.get(group);
			if (steady?.epoch === epoch && askedAt > steady.askedAt && mayRenewFromEndpoints(askedAt)) {
				lastSteady.set(group, {epoch, askedAt});
				notifyWaiters();
				mirror.notifyUnfenced();
			}
		},
		getUnfenced(now) {
			const confirmedAt = mirror.partsConfirmedAt ?? Number.POSITIVE_INFINITY;
			return [...lastSteady]
				.filter(([, {askedAt}]) => askedAt > confirmedAt)
				.map(([group, {epoch, askedAt}]) => ({group, epoch, ageMs: Math.max(0, now - askedAt)}));
		},
		getAskedAt: group => lastSteady.get(group)?.askedAt,
		/*
		 * In a store outage hosts confirm each other's copies. One of them may already have given up its lease, or even replaced the primary,
		 * without having read back what it wrote. If it did not report the group as outdated, a host that the revocation had not reached
		 * would continue with the old primary.
		 */
		getOutdated: () => [...revokedBelow].filter(([group, epoch]) => (mirror.state.leadership.get(group)?.epoch ?? 0) < epoch).map(([group]) => group),
		pause(group, epoch) {
			raiseFloor(pausedBelow, group, epoch);
		},
		revoke(group, epoch) {
			raiseFloor(pausedBelow, group, epoch);
			raiseFloor(revokedBelow, group, epoch);
			notifyWaiters();
		},
		async changed(signal) {
			if (signal.aborted) {
				return;
			}

			await new Promise<void>(resolve => {
				waiters.push(resolve);
				signal.addEventListener('abort', () => {
					resolve();
				}, {once: true});
			});
		},
	};
}
