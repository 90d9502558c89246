import type {PlainObserver, PlainServer} from '../../src/stand-ins/plain-group/plain-server.js';

/** Checks that leaving servers get no new work once their bound is over. */
export type DrainWatch = {
	/** Records that a server has announced that it is leaving. */
	noteLeaving(server: PlainServer): void;
	/** Records that a statement is single, so that it counts as new work. */
	noteSingle(id: string): void;
	readonly observer: Pick<PlainObserver, 'onRead' | 'onCommit'>;
};

/** Maximum time from the arrival of a statement at its server until it has run, in milliseconds. */
const RUN_MS = 100;

/** Creates a watch that reports to `addViolation`. */
export function createDrainWatch(getNow: () => number, maxLeavingMs: number, addViolation: (description: string) => void): DrainWatch {
	const leavingSince = new Map<PlainServer, number>();
	const singles = new Set<string>();

	const check = (server: PlainServer, id: string) => {
		const since = leavingSince.get(server);
		if (server.leaving && since !== undefined && singles.has(id) && getNow() - since > maxLeavingMs + RUN_MS) {
			addViolation(`${id} ran at ${server.id} ${Math.round(getNow() - since)} ms after it announced that it is leaving`);
		}
	};

	return {
		noteLeaving(server) {
			leavingSince.set(server, getNow());
		},
		noteSingle(id) {
			singles.add(id);
		},
		observer: {
			onRead({id, server}) {
				check(server, id);
			},
			onCommit(_commit, server, id) {
				check(server, id);
			},
		},
	};
}
