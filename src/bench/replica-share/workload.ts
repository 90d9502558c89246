import {Outcome} from '../../callers/caller-response.js';
import {EndpointRole} from '../../endpoints/endpoint.js';
import type {OwnerResponse, OwnerRequest} from '../../routing/owner-request.js';
import {createRequestId} from '../../random/request-id.js';
import type {ReadPath} from '../../owners/read-path.js';
import {getLaterLogPosition, LOG_START, type LogPosition} from '../../terms/log-position.js';
import {HOP_MS, type ShareSystem} from './share-system.js';

/** Whose floor a read carries. */
export const SessionKind = {
	/** Of a write acknowledged within the last {@link JUST_MS}. */
	JustWrote: 'just wrote',
	/** Of some earlier write. */
	WroteBefore: 'wrote before',
	/** No token came with the read. */
	NoToken: 'no token',
	/** The read asks for the latest. */
	Latest: 'latest',
} as const;

/** One of the kinds in {@link SessionKind}. */
export type SessionKind = typeof SessionKind[keyof typeof SessionKind];

/** What is sent. */
export type Traffic = {
	readonly readsPerSecond: number;
	readonly syncsPerSecond: number;
	/** Parts of the reads by kind of session; they make 1. */
	readonly parts: Readonly<Record<SessionKind, number>>;
	/** Stated ages, equally often, in milliseconds. */
	readonly agesMs: readonly number[];
	/** Whether a session's reads raise its floor too, so that none goes back behind an earlier one. */
	readonly monotonicReads?: boolean;
};

/** How one read ended. */
export type ReadResult = {
	readonly askedAt: number;
	readonly kind: SessionKind;
	readonly maxAgeMs: number;
	/** From the entry proxy and back to it, in milliseconds. */
	readonly latencyMs: number;
	readonly done: boolean;
	readonly byReplica: boolean;
	/** The rows lack a write that the session or the stated age demands. */
	readonly stale: boolean;
};

/** A write that was acknowledged. */
type Ack = {readonly at: number; readonly log: LogPosition};

/** A session that wrote within this time just wrote, in milliseconds. */
export const JUST_MS = 200;

const READ_DEADLINE_MS = 5000;
const SYNC_DEADLINE_MS = 15_000;
const MEMBERS = 500;

/** Sessions among which the reads are spread. */
export const SESSIONS = 500;

/** Sends reads and syncs through the owners' paths. */
export type Workload = {
	readonly results: readonly ReadResult[];
	/** Syncs that were not acknowledged. */
	readonly failedSyncs: number;
	/** Creates the table. */
	prepare(): Promise<void>;
	sendSyncs(traffic: Traffic, until: number): Promise<void>;
	sendReads(traffic: Traffic, until: number): Promise<void>;
};

/** Creates a workload over the owners' write paths and the given read paths, one for each owner. */
export function createWorkload(system: ShareSystem, reads: readonly ReadPath[]): Workload {
	const {schedule, random, owners} = system;
	const acks: Ack[] = [{at: 0, log: LOG_START}];
	const results: ReadResult[] = [];
	const readFloors = new Map<number, LogPosition>();
	let latestAck: LogPosition = LOG_START;
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
		await schedule.sleep(HOP_MS);
		const answer = await owners[pickOwner()]!.writes.write(req, schedule.now() + SYNC_DEADLINE_MS);
		await schedule.sleep(HOP_MS);
		return answer;
	};

	const sync = async () => {
		const answer = await write('INSERT INTO nights (member, score) VALUES ($1, $2)', [pickMember(), 80]);
		if (answer.outcome === Outcome.Done) {
			acks.push({at: schedule.now(), log: answer.log!});
			latestAck = getLaterLogPosition(latestAck, answer.log!);
		} else {
			failedSyncs++;
		}
	};

	const findFirstSince = (at: number) => {
		let low = 0;
		let high = acks.length;
		while (low < high) {
			const middle = (low + high) >>> 1;
			if (acks[middle]!.at < at) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	};

	const pickFloor = (kind: SessionKind): LogPosition => {
		const recent = findFirstSince(schedule.now() - JUST_MS);
		const [from, to] = kind === SessionKind.JustWrote ? [Math.min(recent, acks.length - 1), acks.length] : [0, Math.max(1, recent)];
		return acks[from + Math.floor(random.fraction() * (to - from))]!.log;
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

	// A row younger than the stated age at the moment of the answer, or one that the session wrote, must be there.
	const isStale = (answer: OwnerResponse, mustHold: LogPosition, maxAgeMs: number, now: number) => {
		const missing = system.servers[0].member.log.get(answer.log!.position + 1);
		const isTooOld = missing !== undefined && now - missing.writtenAt > maxAgeMs;
		return answer.log!.position < mustHold.position || isTooOld;
	};

	const read = async (traffic: Traffic) => {
		const askedAt = schedule.now();
		const kind = pickKind(traffic.parts);
		const hasFloor = kind === SessionKind.JustWrote || kind === SessionKind.WroteBefore;
		const session = Math.floor(random.fraction() * SESSIONS);
		const readFloor = (traffic.monotonicReads ? readFloors.get(session) : undefined) ?? LOG_START;
		const floor = hasFloor ? getLaterLogPosition(pickFloor(kind), readFloor) : undefined;
		const mustHold = floor ?? latestAck;
		const maxAgeMs = kind === SessionKind.Latest ? 60_000 : traffic.agesMs[Math.floor(random.fraction() * traffic.agesMs.length)]!;
		const req = createRequest('read', 'SELECT score FROM nights WHERE member = $1', [pickMember()], {floor, maxAgeMs});
		await schedule.sleep(HOP_MS);
		const answer = await reads[pickOwner()]!.read(req, schedule.now() + READ_DEADLINE_MS);
		const done = answer.outcome === Outcome.Done;
		const stale = done && isStale(answer, mustHold, maxAgeMs, schedule.now());
		await schedule.sleep(HOP_MS);
		if (done) {
			readFloors.set(session, getLaterLogPosition(readFloor, answer.log!));
		}

		results.push({
			askedAt, kind, maxAgeMs, latencyMs: schedule.now() - askedAt, done, byReplica: answer.role === EndpointRole.Replica, stale,
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
