import {withinMs} from '../time/deadline.js';
import type {Versioned} from '../mirror/mirror-state.js';
import {isPeerError} from '../peers/peer-errors.js';
import type {LogPosition} from '../terms/log-position.js';
import {LEADERSHIP_CALL_TIMEOUT_MS} from './leadership-calls.js';
import {
	getAcknowledgedEnd, getExceededPosition, type CommitReport, type ReceivedReport,
} from './acknowledged-commits.js';
import type {HostRecord, LeadershipRecord} from './leadership-record.js';
import {getSyncReplicas} from './proven-successors.js';
import {RETRY_MS, type ReplacePrimaryParts} from './replace-parts.js';
import type {ZoneDemand} from './successor-distance.js';

/** The revocation of all leases below a record's epoch, on every host. */
export type LeaseRevocation = {
	/** A position above which some host has acknowledged a commit; undefined if none has reported one. */
	readonly exceeded: LogPosition | undefined;
	/** Hosts that have not responded yet. */
	readonly silent: ReadonlyArray<Versioned<HostRecord>>;
	/** Demand at the group's primary by zone, as stated by the hosts that have responded; empty where it does not count. */
	readonly demand: ZoneDemand;
	/** A position at or above all commits that any host has acknowledged; undefined if not every host has reported what is needed to tell. */
	readonly acknowledgedEnd: LogPosition | undefined;
	/** Requests the hosts that have not responded yet, including this one, to give up their leases. */
	request(): Promise<void>;
	/**
	 * Repeats the requests until all hosts have responded, at most until the elapsed time `endsAt`. Resolves to true if a lease may have ended only by
	 * expiring.
	 */
	wait(endsAt: number): Promise<boolean>;
};

/**
 * Makes every host give up its leases below the record's epoch. A host that does not respond may be dead, or partitioned and still serving:
 * the request to it is repeated until its lease has expired. Expiry also ends the lease of a host that this one never knew because a restored store
 * has lost its registration.
 */
export function createLeaseRevocation(parts: ReplacePrimaryParts, changing: Versioned<LeadershipRecord>, settleMs: number): LeaseRevocation {
	const {clock, elapsedClock, primaryLeases, primaryWork, log} = parts;
	const {group, epoch} = changing;
	let hosts: ReadonlyArray<Versioned<HostRecord>> | undefined;
	let silent: ReadonlyArray<Versioned<HostRecord>> = [];
	let isOwnRevoked = false;
	const demand = new Map<string, number>();
	const wantsDemand = parts.getSuccessorDistance !== undefined;
	const wantsCommits = getSyncReplicas(parts, changing) > 0;
	const reports: Array<ReceivedReport | undefined> = [];
	let listedAt = 0;
	const mayLackHosts = parts.storeRestores.mayLackHosts(elapsedClock.elapsed());

	const noteReport = (report: CommitReport | undefined, askedAt: number) => {
		reports.push(report && {askedAt, receivedAt: elapsedClock.elapsed(), report});
	};

	const noteDemand = (zone: string, rate: number | undefined) => {
		demand.set(zone, (demand.get(zone) ?? 0) + (rate ?? 0));
	};

	if (wantsDemand) {
		noteDemand(parts.availabilityZone, primaryWork.getRate(group));
	}

	const revokeOwn = async () => {
		primaryLeases.pause(group, epoch);
		await primaryWork.drain(group, settleMs);
		primaryLeases.revoke(group, epoch);
		isOwnRevoked = true;
		if (wantsCommits) {
			noteReport(parts.reportCommits?.(group), elapsedClock.elapsed());
		}
	};

	const requestOne = async (host: Versioned<HostRecord>) => {
		const askedAt = elapsedClock.elapsed();
		try {
			const res = await parts.peers.call(host.peerAddress, 'lead-revoke', {
				group, epoch, settleMs, ...(wantsDemand && {wantsDemand}), ...(wantsCommits && {wantsCommits}),
			}, settleMs + LEADERSHIP_CALL_TIMEOUT_MS);
			if (wantsDemand) {
				noteDemand(host.availabilityZone, res.demand);
			}

			if (wantsCommits) {
				noteReport(res.commits, askedAt);
			}

			return undefined;
		} catch (err) {
			if (!isPeerError(err)) {
				throw err;
			}

			return host;
		}
	};

	const requestOthers = async () => {
		if (!hosts) {
			hosts = await listOtherHosts(parts);
			silent = hosts?.filter(host => !host.gone) ?? [];
			listedAt = elapsedClock.elapsed();
		}

		const results = await Promise.all(silent.map(async host => requestOne(host)));
		silent = results.filter(host => host !== undefined);
	};

	const request = async () => {
		await Promise.all([requestOthers(), isOwnRevoked ? undefined : revokeOwn()]);
	};

	return {
		demand,
		get silent() {
			return silent;
		},
		get exceeded() {
			return getExceededPosition(reports.filter(report => report !== undefined));
		},
		get acknowledgedEnd() {
			const isComplete = hosts !== undefined && silent.length === 0 && !hosts.some(host => host.gone) && isOwnRevoked && !mayLackHosts && !reports.includes(undefined);
			return isComplete ? getAcknowledgedEnd(reports.filter(report => report !== undefined), listedAt) : undefined;
		},
		request,
		async wait(endsAt) {
			while ((!hosts || silent.length > 0) && elapsedClock.elapsed() < endsAt) {
				await clock.sleep(RETRY_MS);
				// A host that does not respond delays a round by the call timeout, which must not outlast the wait.
				await withinMs(clock, Math.max(0, endsAt - elapsedClock.elapsed()), request());
			}

			// No request is sent to a host that is marked as unresponsive; it may still be running and hold a lease.
			const hasUnresponsiveHosts = hosts?.some(host => host.gone) ?? true;
			const byTime = silent.length > 0 || hasUnresponsiveHosts || mayLackHosts;
			while (byTime && elapsedClock.elapsed() < endsAt) {
				await clock.sleep(Math.min(RETRY_MS, endsAt - elapsedClock.elapsed()));
			}

			log.info('the leases of every host have ended', {
				group, epoch, hosts: hosts?.length, silent: silent.map(({name}) => name), byTime,
			});
			return byTime;
		},
	};
}

/** Returns the other hosts as registered after the record was updated, and those that a restored store has lost; undefined if the store does not respond. */
async function listOtherHosts({mirror, storeRestores, elapsedClock, ownPeerAddress}: ReplacePrimaryParts) {
	if (!await mirror.confirm()) {
		return undefined;
	}

	const hosts = [...mirror.state.hosts, ...storeRestores.getLostHosts(elapsedClock.elapsed())];
	return hosts.filter(host => host.peerAddress !== ownPeerAddress);
}
