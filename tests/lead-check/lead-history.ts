import type {PlainCommit} from '../../src/stand-ins/plain-group/plain-log.js';
import type {PlainGroup} from '../../src/stand-ins/plain-group/plain-group.js';
import type {PlainObserver, PlainServer} from '../../src/stand-ins/plain-group/plain-server.js';
import type {PromotionOrder} from '../../src/leadership/promotion-orders.js';

/** What a caller's read must see. */
export type ReadClaim = {
	/** Time of its first byte, or of its transaction's. */
	readonly firstByteAt: number;
	readonly maxReadAgeMs: number;
	/** Statement ids of the session's own acknowledged commits. */
	readonly own: readonly string[];
};

/** What happened in a run, and which of it must never happen. */
export type LeadHistory = {
	readonly observer: PlainObserver;
	/** In words, each with the virtual time at which it was found. */
	readonly violations: readonly string[];
	readonly figures: {acknowledged: number; reads: number; refused: number; unknown: number};
	setGroup(group: PlainGroup): void;
	/** A read goes out with this claim. */
	claimRead(id: string, claim: ReadClaim): void;
	/** A caller has its read: what the endpoint ran is judged. */
	noteRead(id: string): void;
	/** A caller has its commit, or its single write. */
	noteAcknowledged(id: string, now: number): void;
	/** A caller was promised that nothing is kept. */
	noteRefused(id: string): void;
	noteUnknown(): void;
	/** Whether anything took effect under that id. */
	wroteAnything(id: string): boolean;
	/** Judges what can only be judged at the end. */
	finish(orders: readonly PromotionOrder[]): void;
};

type RunCommit = {
	readonly commit: PlainCommit;
	/** The server was no longer the one that was promoted last. */
	readonly superseded: boolean;
};

type RunRead = {
	readonly server: PlainServer;
	/** Commits acknowledged before the claim's bound, still in the leader's log, that the server did not show. */
	readonly missing: readonly string[];
};

function isHeldBy({log}: PlainServer, commit: PlainCommit): boolean {
	return log[commit.position - 1]?.commit === commit;
}

function isVisibleAt(server: PlainServer, commit: PlainCommit, now: number): boolean {
	return isHeldBy(server, commit) && server.log[commit.position - 1]!.visibleAt <= now;
}

/** Creates an empty history. */
export function createLeadHistory(getNow: () => number): LeadHistory {
	const commits = new Map<string, RunCommit[]>();
	const acknowledged = new Map<string, {readonly commit: PlainCommit; readonly at: number}>();
	const refused = new Set<string>();
	const rolledBack = new Set<PlainCommit>();
	const claims = new Map<string, ReadClaim>();
	const reads = new Map<string, RunRead[]>();
	const violations: string[] = [];
	const startedAt = getNow();
	const violate = (what: string) => {
		violations.push(`${Math.round(getNow() - startedAt)} ms: ${what}`);
	};

	const figures = {
		acknowledged: 0, reads: 0, refused: 0, unknown: 0,
	};
	let group: PlainGroup;

	const getLeader = () => group.leader;

	const findMissing = (server: PlainServer, claim: ReadClaim) => {
		const now = getNow();
		const missing: string[] = [];
		for (const [id, {commit, at}] of acknowledged) {
			const owed = at < claim.firstByteAt - claim.maxReadAgeMs || claim.own.includes(id);
			if (owed && isHeldBy(getLeader(), commit) && !rolledBack.has(commit) && !isVisibleAt(server, commit, now)) {
				missing.push(id);
			}
		}

		// What every server shows, no server will ever lack again: a leader keeps its log, and the others follow it.
		for (const [id, {commit}] of acknowledged) {
			if (!group.servers.every(other => isVisibleAt(other, commit, now))) {
				break;
			}

			acknowledged.delete(id);
		}

		return missing;
	};

	return {
		violations,
		figures,
		setGroup(next) {
			group = next;
		},
		observer: {
			onRead({id, server}) {
				const claim = claims.get(id);
				if (claim) {
					reads.set(id, [...reads.get(id) ?? [], {server, missing: findMissing(server, claim)}]);
				}
			},
			onCommit(commit, server, id) {
				commits.set(id, [...commits.get(id) ?? [], {commit, superseded: server.id !== group.leader.id}]);
			},
			onLead(server) {
				const kept = new Set(server.log.map(({commit}) => commit));
				for (const {commit} of acknowledged.values()) {
					if (!kept.has(commit)) {
						rolledBack.add(commit);
					}
				}
			},
		},
		claimRead(id, claim) {
			claims.set(id, claim);
		},
		noteRead(id) {
			figures.reads++;
			// A read may run twice; the caller has the answer of one of the runs.
			const runs = reads.get(id) ?? [];
			if (runs.length > 0 && runs.every(({missing}) => missing.length > 0)) {
				violate(`read ${id} at ${runs[0]!.server.id} missed ${runs[0]!.missing.join(', ')}`);
			}
		},
		noteAcknowledged(id, now) {
			figures.acknowledged++;
			const runs = commits.get(id) ?? [];
			if (runs.length !== 1) {
				violate(`commit ${id} was acknowledged and took effect ${runs.length} times`);
				return;
			}

			if (runs[0]!.superseded) {
				violate(`commit ${id} of a superseded primary was acknowledged`);
			}

			acknowledged.set(id, {commit: runs[0]!.commit, at: now});
		},
		noteRefused(id) {
			figures.refused++;
			refused.add(id);
		},
		noteUnknown() {
			figures.unknown++;
		},
		wroteAnything: id => commits.has(id),
		finish(orders) {
			for (const id of refused) {
				if (commits.has(id)) {
					violate(`commit ${id} took effect though its caller was told that nothing is kept`);
				}
			}

			for (const [i, order] of orders.entries()) {
				const before = orders[i - 1];
				if (before && (order.token < before.token || (order.token === before.token && order.holder !== before.holder))) {
					violate(`the order of ${order.holder} with token ${order.token} came after that of ${before.holder} with ${before.token}`);
				}
			}
		},
	};
}
