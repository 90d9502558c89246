import {withinMs} from '../time/deadline.js';
import type {Versioned} from '../mirror/mirror-state.js';
import {isPeerError} from '../peers/peer-errors.js';
import {LEAD_CALL_TIMEOUT_MS} from './lead-calls.js';
import type {HostRecord, LeadershipRecord} from './leadership-record.js';
import {RETRY_MS, type ReplacePrimaryParts} from './replace-parts.js';

/** The end of all evidence below a record's epoch. */
export type EvidenceEnd = {
	/** Hosts that did not answer yet. */
	readonly silent: ReadonlyArray<Versioned<HostRecord>>;
	/** Asks the hosts that did not answer yet to give up their evidence, this one among them. */
	ask(): Promise<void>;
	/** Asks until all have answered, at the latest until the elapsed time `endsAt`; true where evidence may have ended by its time alone. */
	wait(endsAt: number): Promise<boolean>;
};

/**
 * Has every host give up its evidence below the record's epoch. A host that does not answer may be dead, or cut off
 * and still serving: its evidence ends by its time, and until then it is asked again. So does that of a host which this one
 * never knew, whose registration a restored store has lost.
 */
export function createEvidenceEnd(parts: ReplacePrimaryParts, changing: Versioned<LeadershipRecord>, settleMs: number): EvidenceEnd {
	const {clock, elapsedClock, evidences, primaryWork, log} = parts;
	const {group, epoch} = changing;
	let hosts: ReadonlyArray<Versioned<HostRecord>> | undefined;
	let silent: ReadonlyArray<Versioned<HostRecord>> = [];
	let ownGivenUp = false;
	const mayLackHosts = parts.returns.mayLackHosts(elapsedClock.elapsed());

	const giveUpOwn = async () => {
		evidences.pause(group, epoch);
		await primaryWork.settle(group, settleMs);
		evidences.revoke(group, epoch);
		ownGivenUp = true;
	};

	const askOne = async (host: Versioned<HostRecord>) => {
		try {
			await parts.peers.call(host.peerAddress, 'lead-revoke', {group, epoch, settleMs}, settleMs + LEAD_CALL_TIMEOUT_MS);
			return undefined;
		} catch (err) {
			if (!isPeerError(err)) {
				throw err;
			}

			return host;
		}
	};

	const askOthers = async () => {
		if (!hosts) {
			hosts = await listOtherHosts(parts);
			silent = hosts?.filter(host => !host.gone) ?? [];
		}

		const answers = await Promise.all(silent.map(async host => askOne(host)));
		silent = answers.filter(host => host !== undefined);
	};

	const ask = async () => {
		await Promise.all([askOthers(), ownGivenUp ? undefined : giveUpOwn()]);
	};

	return {
		get silent() {
			return silent;
		},
		ask,
		async wait(endsAt) {
			while ((!hosts || silent.length > 0) && elapsedClock.elapsed() < endsAt) {
				await clock.sleep(RETRY_MS);
				// A host that does not answer holds a round up for its timeout, which must not outlast the wait.
				await withinMs(clock, Math.max(0, endsAt - elapsedClock.elapsed()), ask());
			}

			// A host that is marked as gone is not asked; it may live and hold evidence.
			const hasGone = hosts?.some(host => host.gone) ?? true;
			const byTime = silent.length > 0 || hasGone || mayLackHosts;
			while (byTime && elapsedClock.elapsed() < endsAt) {
				await clock.sleep(Math.min(RETRY_MS, endsAt - elapsedClock.elapsed()));
			}

			log.info('evidence is over on every host', {
				group, epoch, hosts: hosts?.length, silent: silent.map(({name}) => name), byTime,
			});
			return byTime;
		},
	};
}

/** The other hosts as registered after the record was updated, and those that a restored store has lost; undefined where the store does not say. */
async function listOtherHosts({mirror, returns, elapsedClock, ownPeerAddress}: ReplacePrimaryParts) {
	if (!await mirror.confirm()) {
		return undefined;
	}

	const hosts = [...mirror.state.hosts, ...returns.getLostHosts(elapsedClock.elapsed())];
	return hosts.filter(host => host.peerAddress !== ownPeerAddress);
}
