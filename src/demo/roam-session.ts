import {Outcome} from '../callers/caller-response.js';
import {RequestKind} from '../callers/caller-request.js';
import type {LocalProxy} from '../stand-ins/processes/local-system.js';
import {createCaller, type DemoCaller} from './caller.js';
import {SLEEP_LOGS, type Scenario} from './demo.js';
import {setLag} from './faults.js';
import {Guarantee} from './guarantees.js';

const LAG_MS = 400;
const MEMBER = 'm-101';

/** A member writes a note at each proxy in turn and reads it at the next one, while every replica lags. */
export const roamSession: Scenario = {
	title: 'A session roams over nine proxies',
	why: `Replicas now lag by ${LAG_MS} ms. A member annotates a night at each proxy and looks at it through the next one at once.`,
	async run(demo) {
		const {guarantees, output, balancer} = demo;
		await setLag(demo, SLEEP_LOGS, LAG_MS);
		const member = createCaller({...demo, group: SLEEP_LOGS});
		const proxies = balancer.getLive();
		const faults: string[] = [];
		const servedBy = new Map<string, number>();
		for (const [index, proxy] of proxies.entries()) {
			const note = `note-${index + 1}`;
			await annotate(member, proxy, note);
			const next = proxies[(index + 1) % proxies.length]!;
			const seen = await readNotes(member, next);
			servedBy.set(seen.servedBy, (servedBy.get(seen.servedBy) ?? 0) + 1);
			if (!seen.notes.includes(note)) {
				faults.push(`${note}, written at ${proxy.host.name}, was not seen at ${next.host.name}`);
			}
		}

		output.printLine(`the floor travels in the session's token; reads were served by ${[...servedBy].map(([name, count]) => `${name} (${count})`).join(', ')}`);
		guarantees.check(Guarantee.ReadYourWrites, faults, `${proxies.length} notes, each read at another proxy than wrote it`);
	},
};

async function annotate(member: DemoCaller, proxy: LocalProxy, note: string): Promise<void> {
	const answer = await member.ask(proxy, {
		kind: RequestKind.Write, statement: 'INSERT INTO notes (member, mark) VALUES ($1, $2)', values: [MEMBER, note],
	});
	if (answer.outcome !== Outcome.Done) {
		throw new Error(`${note} was not written: ${answer.refusal?.code}`);
	}
}

async function readNotes(member: DemoCaller, proxy: LocalProxy): Promise<{notes: readonly string[]; servedBy: string}> {
	const answer = await member.ask(proxy, {
		kind: RequestKind.Read, statement: 'SELECT mark FROM notes WHERE member = $1', values: [MEMBER],
	});
	if (answer.outcome !== Outcome.Done) {
		throw new Error(`the notes were not read: ${answer.refusal?.code}`);
	}

	return {notes: answer.rows!.map(row => row.mark as string), servedBy: answer.servedBy!};
}
