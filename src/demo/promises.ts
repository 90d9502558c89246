import type {Story} from './story.js';

/** What the demo holds aldercroft to, in the brief's words or shorter. */
export const Promised = {
	ReadYourWrites: 'a session reads its own writes, at whichever proxy',
	OnceOnly: 'no write is lost or doubled',
	TruthfulRefusal: 'a refusal that says "not run" is true',
	Explained: 'every refusal can be explained afterwards',
	ReadAge: 'an answer is no older than the read accepts',
	FailoverEnds: 'writes land again within seconds after a primary is lost',
	Drain: 'an endpoint that is leaving gets no new work after a few seconds',
	GracefulStop: 'a planned stop cuts no request',
	InForce: 'an accepted change is in force on every proxy within seconds',
	Audited: 'each change is in the audit trail once, and one of two operators wins',
} as const;

/** One of the promises in {@link Promised}. */
export type Promised = typeof Promised[keyof typeof Promised];

/** Judges the promises of one run. */
export type Promises = {
	/** Notes what was found of a promise: `faults` says in sentences what broke it, `evidence` what was looked at. */
	check(promised: Promised, faults: readonly string[], evidence: string): void;
	/** Prints the end of the run and resolves to the demo's exit code: 0 only where every promise was checked and kept. */
	conclude(): number;
};

const MOST_FAULTS_SHOWN = 5;

/** Creates the judge of one run. */
export function createPromises(story: Story): Promises {
	const checked = new Set<Promised>();
	const broken = new Set<Promised>();

	return {
		check(promised, faults, evidence) {
			checked.add(promised);
			story.showVerdict(faults.length === 0, `${promised}: ${evidence}`);
			if (faults.length === 0) {
				return;
			}

			broken.add(promised);
			for (const fault of faults.slice(0, MOST_FAULTS_SHOWN)) {
				story.tell(fault);
			}

			if (faults.length > MOST_FAULTS_SHOWN) {
				story.tell(`and ${faults.length - MOST_FAULTS_SHOWN} more`);
			}
		},
		conclude() {
			const all = Object.values(Promised);
			// Guards against a chapter that ended early and looks like success: what nobody checked was not kept.
			const unchecked = all.filter(promised => !checked.has(promised));
			for (const promised of unchecked) {
				story.showVerdict(false, `${promised}: it was not checked`);
			}

			const kept = all.length - unchecked.length - broken.size;
			story.showVerdict(kept === all.length, `${kept} of ${all.length} promises in this run`);
			return kept === all.length ? 0 : 1;
		},
	};
}
