import type {SleepSignal} from '../time/sleep-alarm.js';
import {LONGEST_WITHOUT_STORE_MS} from '../mirror/peer-help.js';
import type {UnfencedGroup} from '../mirror/mirror-calls.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import {isAffirmed, LeadPhase, type LeadershipRecord} from './leadership-record.js';

/** What a proxy may rely on when it uses a primary. */
export type LeadEvidence = Pick<LeadershipRecord, 'group' | 'primaryId' | 'term' | 'epoch' | 'start'>;

/** Knows which primaries this host may use at this moment. */
export type LeadEvidences = {
	/** Evidence for new work; undefined where there is none at the elapsed time `now`. */
	get(group: string, now: number): LeadEvidence | undefined;
	/** Whether evidence that work began under still holds at the elapsed time `now`, at which its answer is here. */
	holds(evidence: LeadEvidence, now: number): boolean;
	/** Whether the primary of the evidence has been replaced for good, so that no later confirmation can help. */
	isSuperseded(evidence: LeadEvidence): boolean;
	/** Notes that no endpoint of the group that could be promoted showed a fence, as asked at the elapsed time `askedAt`. */
	noteUnfenced(group: string, epoch: number, askedAt: number): void;
	/** Groups whose evidence is younger than the last confirmation, by what their endpoints showed; ages at the elapsed time `now`. */
	getUnfenced(now: number): readonly UnfencedGroup[];
	/** Elapsed time from which evidence of the group's steady primary counts; undefined where there is none. */
	getAskedAt(group: string): number | undefined;
	/** Groups whose evidence was given up for an epoch that the copy of the store does not show yet. */
	getOutdated(): readonly string[];
	/** Gives no evidence below `epoch` for new work any more; what was begun may still end under its own. */
	pause(group: string, epoch: number): void;
	/** Gives up all evidence below `epoch`, for good. */
	revoke(group: string, epoch: number): void;
	/** Resolves after the next change of what is known, or when the signal aborts. */
	changed(signal: SleepSignal): Promise<void>;
};

/** What the evidences need. */
export type LeadEvidencesOptions = {
	readonly mirror: StoreMirror;
	/** Own address as registered: a host that is not registered is not asked before a primary is replaced. */
	readonly ownPeerAddress: string;
	/** Whether each host that goes on without the store knew this one at the elapsed time `at`. */
	isKnownToAll(at: number): boolean;
};

/**
 * How long a confirmation that the store shows a steady primary is good for, in milliseconds of elapsed time, counted
 * from when it was asked for.
 *
 * Whoever replaces a primary waits this long where a host does not acknowledge, so a failover with a dead host lasts
 * longer by as much; and an outage of the store shorter than this stops nothing. Outages of 3 to 6 s are ordinary.
 */
export const EVIDENCE_MS = 3000;

/** Creates the evidences. */
export function createLeadEvidences({mirror, ownPeerAddress, isKnownToAll}: LeadEvidencesOptions): LeadEvidences {
	const pausedBelow = new Map<string, number>();
	const revokedBelow = new Map<string, number>();
	let waiting: Array<() => void> = [];

	const tell = () => {
		const woken = waiting;
		waiting = [];
		for (const resolve of woken) {
			resolve();
		}
	};

	/** By group, the last time at which the store was asked and showed a steady primary, and its epoch. */
	const lastSteady = new Map<string, {readonly epoch: number; readonly askedAt: number}>();

	const noteSteady = ({group, epoch}: LeadershipRecord, askedAt: number) => {
		const known = lastSteady.get(group);
		if (!known || epoch > known.epoch || askedAt > known.askedAt) {
			lastSteady.set(group, {epoch, askedAt});
		}
	};

	mirror.onChange(() => {
		for (const record of mirror.state.leadership.values()) {
			if (record.phase === LeadPhase.Steady && mirror.confirmedAt !== undefined && isAffirmed(record, mirror.state.revision)) {
				noteSteady(record, mirror.confirmedAt);
			}
		}

		tell();
	});

	const isRegistered = () => mirror.state.hosts.some(host => host.peerAddress === ownPeerAddress && !host.gone);

	const isYoung = (group: string, epoch: number, now: number) => {
		const steady = lastSteady.get(group);
		return steady?.epoch === epoch && now < steady.askedAt + EVIDENCE_MS;
	};

	/**
	 * Whether endpoints may lengthen evidence asked for at `askedAt`. Guards against a host that goes on although nobody knows of it: its registration was new when the
	 * store was lost, and the store came back without it.
	 */
	const mayOutlastStore = (askedAt: number) => {
		const confirmedAt = mirror.storeConfirmedAt;
		return confirmedAt !== undefined && askedAt - confirmedAt < LONGEST_WITHOUT_STORE_MS && isKnownToAll(confirmedAt);
	};

	const getSteady = (group: string, now: number) => {
		const record = mirror.state.leadership.get(group);
		const usable = record?.phase === LeadPhase.Steady && record.epoch >= (revokedBelow.get(group) ?? 0);
		return usable && isYoung(group, record.epoch, now) && isRegistered() ? record : undefined;
	};

	const raise = (floors: Map<string, number>, group: string, epoch: number) => {
		floors.set(group, Math.max(floors.get(group) ?? 0, epoch));
	};

	return {
		get(group, now) {
			const record = getSteady(group, now);
			return record && record.epoch >= (pausedBelow.get(group) ?? 0) ? record : undefined;
		},
		holds({group, epoch}, now) {
			// A record that says the group is changing does not end evidence yet: whoever changes it waits for this host, or for the end of its time.
			const isRevoked = epoch < (revokedBelow.get(group) ?? 0);
			return !isRevoked && isYoung(group, epoch, now) && isRegistered();
		},
		isSuperseded(evidence) {
			const record = mirror.state.leadership.get(evidence.group);
			return (record !== undefined && record.epoch > evidence.epoch) || evidence.epoch < (revokedBelow.get(evidence.group) ?? 0);
		},
		noteUnfenced(group, epoch, askedAt) {
			const steady = lastSteady.get(group);
			if (steady?.epoch === epoch && askedAt > steady.askedAt && mayOutlastStore(askedAt)) {
				lastSteady.set(group, {epoch, askedAt});
				tell();
				mirror.tellUnfenced();
			}
		},
		getUnfenced(now) {
			const confirmedAt = mirror.confirmedAt ?? Number.POSITIVE_INFINITY;
			return [...lastSteady]
				.filter(([, {askedAt}]) => askedAt > confirmedAt)
				.map(([group, {epoch, askedAt}]) => ({group, epoch, ageMs: Math.max(0, now - askedAt)}));
		},
		getAskedAt: group => lastSteady.get(group)?.askedAt,
		/*
		 * Guards against hosts that confirm each other's copies in an outage of the store while one of them has already given its evidence up, or even
		 * replaced the primary, and could not read back what it wrote: a host that was not reached then would go on with the old one.
		 */
		getOutdated: () => [...revokedBelow].filter(([group, epoch]) => (mirror.state.leadership.get(group)?.epoch ?? 0) < epoch).map(([group]) => group),
		pause(group, epoch) {
			raise(pausedBelow, group, epoch);
		},
		revoke(group, epoch) {
			raise(pausedBelow, group, epoch);
			raise(revokedBelow, group, epoch);
			tell();
		},
		async changed(signal) {
			if (signal.aborted) {
				return;
			}

			await new Promise<void>(resolve => {
				waiting.push(resolve);
				signal.addEventListener('abort', () => {
					resolve();
				}, {once: true});
			});
		},
	};
}
