import type {DemoOutput} from './demo-output.js';

/** The guarantees of aldercroft that the demo checks, in the words of the requirements or shorter. */
export const Guarantee = {
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

/** One of the guarantees in {@link Guarantee}. */
export type Guarantee = typeof Guarantee[keyof typeof Guarantee];

/** Records which guarantees were kept in one run. */
export type Guarantees = {
	/** Records and prints the result of one check: `faults` states in sentences how the guarantee was broken, `summary` what was checked. */
	check(guarantee: Guarantee, faults: readonly string[], summary: string): void;
	/** Prints the result of the run and returns the demo's exit code: 0 only where every guarantee was checked and kept, otherwise 1. */
	conclude(): number;
};

const MAX_FAULTS_SHOWN = 5;

/** Creates the record of one run. */
export function createGuarantees(output: DemoOutput): Guarantees {
	const checked = new Set<Guarantee>();
	const broken = new Set<Guarantee>();

	return {
		check(guarantee, faults, summary) {
			checked.add(guarantee);
			output.showVerdict(faults.length === 0, `${guarantee}: ${summary}`);
			if (faults.length === 0) {
				return;
			}

			broken.add(guarantee);
			for (const fault of faults.slice(0, MAX_FAULTS_SHOWN)) {
				output.printLine(fault);
			}

			if (faults.length > MAX_FAULTS_SHOWN) {
				output.printLine(`and ${faults.length - MAX_FAULTS_SHOWN} more`);
			}
		},
		conclude() {
			const all = Object.values(Guarantee);
			// A guarantee that was not checked counts as broken: a scenario that ended early must not look like success.
			const unchecked = all.filter(guarantee => !checked.has(guarantee));
			for (const guarantee of unchecked) {
				output.showVerdict(false, `${guarantee}: it was not checked`);
			}

			const kept = all.length - unchecked.length - broken.size;
			output.showVerdict(kept === all.length, `${kept} of ${all.length} promises in this run`);
			return kept === all.length ? 0 : 1;
		},
	};
}
