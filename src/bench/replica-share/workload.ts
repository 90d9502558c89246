import {Outcome} from '../../callers/caller-response.js';
import {EndpointRole} from '../../endpoints/endpoint.js';
import type {OwnerResponse, OwnerRequest} from '../../routing/owner-request.js';
import {createRequestId} from '../../random/request-id.js';
import type {ReadPath} from '../../owners/read-path.js';
import {getLaterLogPosition, LOG_START, type LogPosition} from '../../terms/log-position.js';
import {ONE_WAY_MS, type ShareSystem} from './share-system.js';

/** The kind of session that sends a read, which determines the read's floor. */
export const SessionKind = {
	/** The floor is that of a write acknowledged within the last {@link JUST_WROTE_MS}. */
	JustWrote: 'just wrote',
	/** The floor is that of an earlier write. */
	WroteBefore: 'wrote before',
	/** The read carries no token. */
	NoToken: 'no token',
	/** The read requests the latest data. */
	Latest: 'latest',
} as const;

/** One of the kinds in {@link SessionKind}. */
export type SessionKind = typeof SessionKind[keyof typeof SessionKind];

/** Rates and composition of the reads and syncs. */
export type Traffic = {
	readonly readsPerSecond: number;
	readonly syncsPerSecond: number;
	/** Parts of the reads by kind of session; their sum is 1. */
	readonly parts: Readonly<Record<SessionKind, number>>;
	/** Maximum ages that reads state, in milliseconds; each is equally frequent. */
	readonly agesMs: readonly number[];
	/** Whether a session's reads raise its floor too, so that no read returns older data than an earlier one. */
	readonly monotonicReads?: boolean;
};

/** Result of one read. */
export type ReadResult = {
	readonly sentAt: number;
	readonly kind: SessionKind;
	readonly maxAgeMs: number;
	/** Time from sending at the entry proxy until the response is back there, in milliseconds. */
	readonly latencyMs: number;
	readonly done: boolean;
	readonly byReplica: boolean;
	/** Whether the rows lack a write that the session or the stated age requires. */
	readonly stale: boolean;
};

/** A write that was acknowledged. */
type AcknowledgedWrite = {readonly at: number; readonly log: LogPosition};

/** Time after a write in which its session counts as having just written, in milliseconds. */
export const JUST_WROTE_MS = 200;

const READ_DEADLINE_MS = 5000;
const SYNC_DEADLINE_MS = 15_000;
const MEMBERS = 500;

/** Number of sessions that send the reads. */
export const SESSIONS = 500;

/** Sends reads and syncs through the owners' read and write paths. */
export type Workload = {
	readonly results: readonly ReadResult[];
	/** Number of syncs that were not acknowledged. */
	readonly failedSyncs: number;
	/** Creates the table. */
	prepare(): Promise<void>;
	sendSyncs(traffic: Traffic, until: number): Promise<void>;
	sendReads(traffic: Traffic, until: number): Promise<void>;
};

/** Creates a workload over the owners' write paths and the given read paths, one for each owner. */
export function createWorkload(system: ShareSystem, reads: readonly ReadPath[]): Workload {
	const {schedule, random, owners} = system;
	const acknowledgedWrites: AcknowledgedWrite[] = [{at: 0, log: LOG_START}];
	const results: ReadResult[] = [];
	const readFloors = new Map<number, LogPosition>();
	let latestAcknowledged: LogPosition = LOG_START;
	let failedSyncs = 0;

	const pickOwner = () => Math.floor(random.fraction() * owners.length);
	const pickMember = () => `m-${Math.floor(random.fraction() * MEMBERS)}`;
	const pause = async (perSecond: number) => schedule.sleep(-Math.log(1 - random.fraction()) * 1000 / perSecond);

	const createRequest = (kind: OwnerRequest['kind'], statement: string, values: readonly unknown[], more: Partial<OwnerRequest>): OwnerRequest => ({
		group: 'sleep-logs',
		requestId: createRequestId(schedule.wall(), random),
		kind,
		statement,
		values,
		digest: '',
		maxAgeMs: Infinity,
		class: 'interactive',
		remainingMs: READ_DEADLINE_MS,
		configVersion: 1,
		...more,
	});

	const write = async (statement: string, values: readonly unknown[]): Promise<OwnerResponse> => {
		const req = createRequest('write', statement, values, {class: 'deadline'});
		await schedule.sleep(ONE_WAY_MS);
		const response = await owners[pickOwner()]!.writes.write(req, schedule.now() + SYNC_DEADLINE_MS);
		await schedule.sleep(ONE_WAY_MS);
		return response;
	};

	const sync = async () => {
		const response = await write('INSERT INTO nights (member, score) VALUES ($1, $2)', [pickMember(), 80]);
		if (response.outcome === Outcome.Done) {
			acknowledgedWrites.push({at: schedule.now(), log: response.log!});
			latestAcknowledged = getLaterLogPosition(latestAcknowledged, response.log!);
		} else {
			failedSyncs++;
		}
	};

	const findFirstSince = (at: number) => {
		let low = 0;
		let high = acknowledgedWrites.length;
		while (low < high) {
			const middle = (low + high) >>> 1;
			if (acknowledgedWrites[middle]!.at < at) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	};

	const pickFloor = (kind: SessionKind): LogPosition => {
		const recent = findFirstSince(schedule.now() - JUST_WROTE_MS);
		const [from, to] = kind === SessionKind.JustWrote ? [Math.min(recent, acknowledgedWrites.length - 1), acknowledgedWrites.length] : [0, Math.max(1, recent)];
		return acknowledgedWrites[from + Math.floor(random.fraction() * (to - from))]!.log;
	};

	const pickKind = (parts: Traffic['parts']): SessionKind => {
		let left = random.fraction();
		for (const kind of Object.values(SessionKind)) {
			left -= parts[kind];
			if (left < 0) {
				return kind;
			}
		}

		return SessionKind.WroteBefore;
	};

	// Rows may lack only writes that are younger than the stated age at the time of the response, and none up to the required position.
	const isStale = (response: OwnerResponse, requiredPosition: LogPosition, maxAgeMs: number, now: number) => {
		const missing = system.servers[0].member.log.get(response.log!.position + 1);
		const isTooOld = missing !== undefined && now - missing.writtenAt > maxAgeMs;
		return response.log!.position < requiredPosition.position || isTooOld;
	};

	const read = async (traffic: Traffic) => {
		const sentAt = schedule.now();
		const kind = pickKind(traffic.parts);
		const hasFloor = kind === SessionKind.JustWrote || kind === SessionKind.WroteBefore;
		const session = Math.floor(random.fraction() * SESSIONS);
		const readFloor = (traffic.monotonicReads ? readFloors.get(session) : undefined) ?? LOG_START;
		const floor = hasFloor ? getLaterLogPosition(pickFloor(kind), readFloor) : undefined;
		const requiredPosition = floor ?? latestAcknowledged;
		const maxAgeMs = kind === SessionKind.Latest ? 60_000 : traffic.agesMs[Math.floor(random.fraction() * traffic.agesMs.length)]!;
		const req = createRequest('read', 'SELECT score FROM nights WHERE member = $1', [pickMember()], {floor, maxAgeMs});
		await schedule.sleep(ONE_WAY_MS);
		const response = await reads[pickOwner()]!.read(req, schedule.now() + READ_DEADLINE_MS);
		const done = response.outcome === Outcome.Done;
		const stale = done && isStale(response, requiredPosition, maxAgeMs, schedule.now());
		await schedule.sleep(ONE_WAY_MS);
		if (done) {
			readFloors.set(session, getLaterLogPosition(readFloor, response.log!));
		}

		results.push({
			sentAt, kind, maxAgeMs, latencyMs: schedule.now() - sentAt, done, byReplica: response.role === EndpointRole.Replica, stale,
		});
	};

	return {
		results,
		get failedSyncs() {
			return failedSyncs;
		},
		async prepare() {
			await write('CREATE TABLE nights (member, score)', []);
		},
		async sendSyncs({syncsPerSecond}, until) {
			while (schedule.now() < until) {
				await pause(syncsPerSecond);
				void sync();
			}
		},
		async sendReads(traffic, until) {
			while (schedule.now() < until) {
				await pause(traffic.readsPerSecond);
				void read(traffic);
			}
		},
	};
}
