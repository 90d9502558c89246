import type {PlainCommit} from '../../src/stand-ins/plain-group/plain-log.js';
import type {PlainGroup} from '../../src/stand-ins/plain-group/plain-group.js';
import type {PlainObserver, PlainServer} from '../../src/stand-ins/plain-group/plain-server.js';
import type {PromotionOrder} from '../../src/leadership/promotion-orders.js';

/** What a caller's read is required to see. */
export type ReadRequirement = {
	/** Time of the first byte of the read or of its transaction. */
	readonly firstByteAt: number;
	readonly maxReadAgeMs: number;
	/** Statement ids of the session's own acknowledged commits. */
	readonly own: readonly string[];
};

/** What happened in a run, and the violated guarantees among it. */
export type LeadershipHistory = {
	readonly observer: PlainObserver;
	/** Descriptions, each with the virtual time at which the violation was found. */
	readonly violations: readonly string[];
	readonly figures: {acknowledged: number; reads: number; refused: number; unknown: number};
	setGroup(group: PlainGroup): void;
	/** Sets the requirement of a read before it is sent. */
	requireRead(id: string, requirement: ReadRequirement): void;
	/** Records that a caller received its read, and checks what the endpoint executed. */
	recordRead(id: string): void;
	/** Records that a caller's commit, or its single write, was acknowledged. */
	recordAcknowledged(id: string, now: number): void;
	/** Records that a caller was told that nothing is kept. */
	recordRefused(id: string): void;
	recordUnknown(): void;
	/** Returns whether any commit took effect under this id. */
	wroteAnything(id: string): boolean;
	addViolation(description: string): void;
	/** Checks the guarantees that can only be checked at the end. */
	finish(orders: readonly PromotionOrder[]): void;
};

type ExecutedCommit = {
	readonly commit: PlainCommit;
	/** Whether another server was the one promoted last when the commit took effect. */
	readonly superseded: boolean;
};

type ExecutedRead = {
	readonly server: PlainServer;
	/** Required commits that are still in the primary's log and that the server did not show. */
	readonly missing: readonly string[];
};

function isHeldBy({log}: PlainServer, commit: PlainCommit): boolean {
	return log[commit.position - 1]?.commit === commit;
}

function isVisibleAt(server: PlainServer, commit: PlainCommit, now: number): boolean {
	return isHeldBy(server, commit) && server.log[commit.position - 1]!.visibleAt <= now;
}

/** Options of a history. */
export type LeadershipHistoryOptions = {
	/** Whether a promoted server must hold every acknowledged commit, since replicas received them first. */
	readonly losesNothing?: boolean;
};

/** Creates an empty history. */
export function createLeadershipHistory(getNow: () => number, options: LeadershipHistoryOptions = {}): LeadershipHistory {
	const commits = new Map<string, ExecutedCommit[]>();
	const acknowledged = new Map<string, {readonly commit: PlainCommit; readonly at: number}>();
	const refused = new Set<string>();
	const rolledBack = new Set<PlainCommit>();
	const requirements = new Map<string, ReadRequirement>();
	const reads = new Map<string, ExecutedRead[]>();
	const violations: string[] = [];
	const startedAt = getNow();
	const addViolation = (description: string) => {
		violations.push(`${Math.round(getNow() - startedAt)} ms: ${description}`);
	};

	const figures = {
		acknowledged: 0, reads: 0, refused: 0, unknown: 0,
	};
	let group: PlainGroup;

	const getPrimary = () => group.latestPrimary;

	const findMissing = (server: PlainServer, requirement: ReadRequirement) => {
		const now = getNow();
		const missing: string[] = [];
		for (const [id, {commit, at}] of acknowledged) {
			const isRequired = at < requirement.firstByteAt - requirement.maxReadAgeMs || requirement.own.includes(id);
			if (isRequired && isHeldBy(getPrimary(), commit) && !rolledBack.has(commit) && !isVisibleAt(server, commit, now)) {
				missing.push(id);
			}
		}

		// A commit that every server shows can no longer be missing: a primary keeps its log, and the others follow it.
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
		addViolation,
		figures,
		setGroup(next) {
			group = next;
		},
		observer: {
			onRead({id, server}) {
				const requirement = requirements.get(id);
				if (requirement) {
					reads.set(id, [...reads.get(id) ?? [], {server, missing: findMissing(server, requirement)}]);
				}
			},
			onCommit(commit, server, id) {
				commits.set(id, [...commits.get(id) ?? [], {commit, superseded: server.id !== group.latestPrimary.id}]);
			},
			onPromoted(server) {
				const kept = new Set(server.log.map(({commit}) => commit));
				for (const {commit} of acknowledged.values()) {
					if (!kept.has(commit)) {
						rolledBack.add(commit);
						if (options.losesNothing) {
							addViolation(`${server.id} was promoted without the acknowledged commit ${commit.term}.${commit.position}`);
						}
					}
				}
			},
		},
		requireRead(id, requirement) {
			requirements.set(id, requirement);
		},
		recordRead(id) {
			figures.reads++;
			// A read may run twice. The caller received the answer of one of the runs.
			const runs = reads.get(id) ?? [];
			if (runs.length > 0 && runs.every(({missing}) => missing.length > 0)) {
				addViolation(`read ${id} at ${runs[0]!.server.id} missed ${runs[0]!.missing.join(', ')}`);
			}
		},
		recordAcknowledged(id, now) {
			figures.acknowledged++;
			const runs = commits.get(id) ?? [];
			if (runs.length !== 1) {
				addViolation(`commit ${id} was acknowledged and took effect ${runs.length} times`);
				return;
			}

			if (runs[0]!.superseded) {
				addViolation(`commit ${id} of a superseded primary was acknowledged`);
			}

			acknowledged.set(id, {commit: runs[0]!.commit, at: now});
		},
		recordRefused(id) {
			figures.refused++;
			refused.add(id);
		},
		recordUnknown() {
			figures.unknown++;
		},
		wroteAnything: id => commits.has(id),
		finish(orders) {
			for (const id of refused) {
				if (commits.has(id)) {
					addViolation(`commit ${id} took effect though its caller was told that nothing is kept`);
				}
			}

			for (const [i, order] of orders.entries()) {
				const before = orders[i - 1];
				if (before && (order.token < before.token || (order.token === before.token && order.holder !== before.holder))) {
					addViolation(`the order of ${order.holder} with token ${order.token} came after that of ${before.holder} with ${before.token}`);
				}
			}
		},
	};
}
