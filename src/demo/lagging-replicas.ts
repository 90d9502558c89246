import {Outcome} from '../callers/caller-response.js';
import {RequestKind} from '../callers/caller-request.js';
import {createCaller, type DemoRequest} from './caller.js';
import {SLEEP_LOGS, type Scenario, type Demo} from './demo.js';
import {Guarantee} from './guarantees.js';

/** The result of a coach's read, with the number of rows that it had to return at least. */
type Pull = {
	readonly maxAgeMs: number;
	readonly ageMs: number;
	readonly servedBy: string;
	readonly seen: number;
	readonly mustSee: number;
};

const PULLS_PER_AGE = 20;
const STATED_AGES_MS = [100, 1000, 5000];
const BETWEEN_PULLS_MS = 30;

/** Coaches state a maximum age for the nights that they read: the lower it is, the more reads the primary serves. */
export const laggingReplicas: Scenario = {
	title: 'Coaches pull nights of a stated age from lagging replicas',
	why: 'Replicas should carry the reads, but a stale one lets a coach plan a hard session on a bad night.',
	async run(demo) {
		const {guarantees, output} = demo;
		const pulls = await pullWhileSyncing(demo);
		for (const maxAgeMs of STATED_AGES_MS) {
			output.printLine(describePulls(demo, maxAgeMs, pulls.filter(pull => pull.maxAgeMs === maxAgeMs)));
		}

		const tooOld = pulls.flatMap(({maxAgeMs, ageMs, seen, mustSee}) => [
			...ageMs > maxAgeMs ? [`an answer ${ageMs} ms old was given to a read that accepts ${maxAgeMs} ms`] : [],
			...seen < mustSee ? [`a read that accepts ${maxAgeMs} ms showed ${seen} nights, and ${mustSee} were older than that`] : [],
		]);
		guarantees.check(Guarantee.ReadAge, tooOld, `${pulls.length} pulls; each showed all nights acknowledged before its stated age`);
	},
};

async function pullWhileSyncing(demo: Demo): Promise<readonly Pull[]> {
	const {clock} = demo;
	const acknowledgedAt: number[] = [];
	let done = false;
	const sync = async () => {
		const band = createCaller({...demo, group: SLEEP_LOGS});
		while (!done) {
			const {answer} = await band.send({kind: RequestKind.Write, statement: 'INSERT INTO pulls (batch) VALUES ($1)', values: ['pull']});
			if (answer.outcome === Outcome.Done) {
				acknowledgedAt.push(clock.now());
			}
		}
	};

	const pull = async (maxAgeMs: number): Promise<Pull | undefined> => {
		const req: DemoRequest = {
			kind: RequestKind.Read, statement: 'SELECT batch FROM pulls WHERE batch = $1', values: ['pull'], maxAgeMs,
		};
		const before = clock.now() - maxAgeMs;
		const mustSee = acknowledgedAt.filter(at => at <= before).length;
		const {answer} = await createCaller({...demo, group: SLEEP_LOGS}).send(req);
		return answer.outcome === Outcome.Done
			? {
				maxAgeMs, ageMs: answer.ageMs!, servedBy: answer.servedBy!, seen: answer.rows!.length, mustSee,
			}
			: undefined;
	};

	const syncing = sync();
	const pulls: Pull[] = [];
	try {
		while (acknowledgedAt.length === 0) {
			await clock.sleep(BETWEEN_PULLS_MS);
		}

		for (let round = 0; round < PULLS_PER_AGE; round++) {
			const pulled = await Promise.all(STATED_AGES_MS.map(async maxAgeMs => pull(maxAgeMs)));
			pulls.push(...pulled.filter(one => one !== undefined));
			await clock.sleep(BETWEEN_PULLS_MS);
		}
	} finally {
		done = true;
		await syncing;
	}

	return pulls;
}

function describePulls(demo: Demo, maxAgeMs: number, pulls: readonly Pull[]): string {
	const primary = demo.system.getGroupOrThrow(SLEEP_LOGS).cfg.endpoints[0]!.name;
	const atReplicas = pulls.filter(({servedBy}) => servedBy !== primary).length;
	const oldest = Math.round(Math.max(...pulls.map(({ageMs}) => ageMs)));
	return `accepting ${maxAgeMs} ms: ${pulls.length} pulls, ${atReplicas} served by replicas, the oldest answer ${oldest} ms old`;
}
