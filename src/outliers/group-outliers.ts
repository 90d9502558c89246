import {createEndpointRecord, type EndpointRecord} from './endpoint-record.js';
import {getMedian} from './median.js';

/** How a request to an endpoint ended, as far as it tells about the endpoint. */
export const ObservedOutcome = {
	Answered: 'answered',
	/** The endpoint reported that the statement failed or timed out. */
	Failed: 'failed',
	/** No answer came in time. */
	Lost: 'lost',
	/** The connection ended before the answer. */
	Reset: 'reset',
} as const;

/** One of the outcomes in {@link ObservedOutcome}. */
export type ObservedOutcome = typeof ObservedOutcome[keyof typeof ObservedOutcome];

/** An endpoint of a group. */
export type OutlierMember = {
	readonly endpointId: string;
	/** Number of statements that it executes concurrently. */
	readonly slots: number;
	/** Whether it is the group's primary, which is never ejected. */
	readonly isPrimary: boolean;
};

/** Which reads an endpoint may get. */
export type Standing = {
	/** Whether it may be read now. */
	readonly usable: boolean;
	/** Whether it may get only a single read, which shows whether it has recovered. */
	readonly isTrial: boolean;
	/** Share of the reads that it may get otherwise, from 0 to 1. */
	readonly share: number;
};

/** The ejection of an endpoint, or its end. */
export type OutlierChange = Ejection | {readonly kind: 'readmitted'};

/** An ejection, for log lines and metrics. */
export type Ejection = {
	readonly kind: 'ejected';
	readonly reason: EjectionReason;
	readonly forMs: number;
	/** Number of errors in the answers that led to it. */
	readonly errors: number;
	/** Median time relative to the usual time of its statements; undefined where too few answers were observed. */
	readonly relativeTime: number | undefined;
};

/** Reasons for an ejection. */
export const EjectionReason = {
	Errors: 'errors',
	Slow: 'slow',
	/** A single read of an ejected endpoint failed. */
	Trial: 'trial',
} as const;

/** One of the reasons in {@link EjectionReason}. */
export type EjectionReason = typeof EjectionReason[keyof typeof EjectionReason];

/** Decides which endpoints of one group are left out of reads because they fail or are slow, from observed answers alone. Times are steady times in milliseconds. */
export type GroupOutliers = {
	/** Sets the members that may be used. */
	setMembers(members: readonly OutlierMember[], now: number): void;
	/** Notes how a request ended; `relativeTime` is its time relative to the usual time of its statement. Returns the change that follows, if any. */
	note(endpointId: string, outcome: ObservedOutcome, relativeTime: number, now: number): OutlierChange | undefined;
	/** Returns which reads an endpoint may get. */
	getStanding(endpointId: string, now: number): Standing;
	/** Notes that a single read is sent to an ejected endpoint. */
	noteTrial(endpointId: string, now: number): void;
};

/** An endpoint is an outlier with more errors than this among its last answers, and this many times the rate of its peers. */
const MAX_ERRORS = 5;
const PEER_ERROR_FACTOR = 3;

/** An endpoint is an outlier where its median time is more than this many times the median of its peers. */
const PEER_TIME_FACTOR = 3;

/** Maximum share of the slots of a group that are ejected at the same time. */
const MAX_EJECTED_SHARE = 0.5;

const UNLIMITED: Standing = {usable: true, isTrial: false, share: 1};

/** Creates the outliers of a group without members. */
export function createGroupOutliers(): GroupOutliers {
	let members: readonly OutlierMember[] = [];
	const records = new Map<string, EndpointRecord>();

	const getPeers = (endpointId: string) => members.filter(member => member.endpointId !== endpointId).map(member => records.get(member.endpointId)!);

	const getReason = (endpointId: string, record: EndpointRecord): EjectionReason | undefined => {
		const peers = getPeers(endpointId).filter(({answers}) => answers > 0);
		// A group without observed peers offers nothing to compare with: all its endpoints may suffer the same cause.
		if (peers.length === 0) {
			return undefined;
		}

		const peerErrors = peers.reduce((sum, {errors}) => sum + errors, 0);
		const peerAnswers = peers.reduce((sum, {answers}) => sum + answers, 0);
		if (record.errors > MAX_ERRORS && record.errors / record.answers > PEER_ERROR_FACTOR * peerErrors / peerAnswers) {
			return EjectionReason.Errors;
		}

		const peerTime = getMedian(peers.flatMap(({medianTime}) => medianTime ?? []));
		const isSlow = peerTime !== undefined && record.medianTime !== undefined && record.medianTime > PEER_TIME_FACTOR * peerTime;
		return isSlow ? EjectionReason.Slow : undefined;
	};

	/** Returns whether the group keeps another usable endpoint and at least half of its slots without the endpoint. */
	const mayEject = (endpointId: string) => {
		const member = members.find(other => other.endpointId === endpointId);
		if (!member || member.isPrimary) {
			return false;
		}

		const ejected = members.filter(other => other.endpointId !== endpointId && records.get(other.endpointId)!.ejected);
		const usable = members.length - ejected.length - 1;
		const sum = (list: readonly OutlierMember[]) => list.reduce((slots, other) => slots + other.slots, 0);
		return usable > 0 && sum([...ejected, member]) <= MAX_EJECTED_SHARE * sum(members);
	};

	return {
		setMembers(current, now) {
			const isFirst = members.length === 0;
			for (const {endpointId} of current) {
				if (!records.has(endpointId)) {
					// The first members are not new to the group but only to this host, which has just started.
					records.set(endpointId, createEndpointRecord(isFirst ? undefined : now));
				}
			}

			members = current;
			const ids = new Set(current.map(({endpointId}) => endpointId));
			for (const endpointId of records.keys()) {
				if (!ids.has(endpointId)) {
					records.delete(endpointId);
				}
			}

			// A promoted replica serves writes from now on; it must not be left out of reads that only the primary can serve.
			for (const {endpointId} of current.filter(({isPrimary}) => isPrimary)) {
				records.get(endpointId)!.readmit(now);
			}
		},
		note(endpointId, outcome, relativeTime, now) {
			const record = records.get(endpointId);
			if (!record) {
				return undefined;
			}

			const isError = outcome !== ObservedOutcome.Answered;
			const errors = isError ? 1 : 0;
			if (record.ejected) {
				const forMs = record.noteTrialEnded(isError, relativeTime, now);
				if (forMs !== undefined) {
					return {
						kind: 'ejected', reason: EjectionReason.Trial, forMs, errors, relativeTime,
					};
				}

				return record.ejected ? undefined : {kind: 'readmitted'};
			}

			record.note(isError, relativeTime, now);
			const reason = getReason(endpointId, record);
			if (!reason || !mayEject(endpointId)) {
				return undefined;
			}

			const evidence = {reason, errors: record.errors, relativeTime: record.medianTime};
			return {kind: 'ejected', ...evidence, forMs: record.eject(now)};
		},
		getStanding: (endpointId, now) => records.get(endpointId)?.getStanding(now) ?? UNLIMITED,
		noteTrial(endpointId, now) {
			records.get(endpointId)?.noteTrialSent(now);
		},
	};
}
