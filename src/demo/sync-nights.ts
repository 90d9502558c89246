import {Outcome} from '../callers/caller-response.js';
import {RequestKind} from '../callers/caller-request.js';
import {WorkClass} from '../groups/group-config.js';
import {createRequestId} from '../random/request-id.js';
import {createCaller} from './caller.js';
import {SLEEP_LOGS, type Scenario, type Demo} from './demo.js';
import {findLostOrDuplicated, type SentWrite} from './verify-writes.js';
import {Guarantee} from './guarantees.js';

/** The bands of a wave sync concurrently; the next wave begins when they are done. */
const WAVES = 3;
const BANDS_IN_WAVE = 15;
const MEMBERS = WAVES * BANDS_IN_WAVE;

/** Bands sync their nights over an unreliable link: each sync is sent twice under one request id, to two proxies. */
export const syncNights: Scenario = {
	title: 'Bands sync their nights, each of them twice',
	why: 'A lost sync makes a night vanish; a doubled one skews the recovery score. The request id keeps both from happening.',
	async run(demo) {
		const {guarantees, output} = demo;
		const writes: SyncedNight[] = [];
		for (let wave = 1; wave <= WAVES; wave++) {
			const members = Array.from({length: BANDS_IN_WAVE}, (_, index) => `m-${wave}${String(index + 1).padStart(2, '0')}`);
			writes.push(...await Promise.all(members.map(async member => syncTwice(demo, member))));
		}

		const repeats = writes.filter(({bothDone}) => bothDone).length;
		output.printLine(`${MEMBERS} bands sent their night to two of nine proxies; ${repeats} were told "done" by both`);
		const stored = await readMembers(demo);
		guarantees.check(Guarantee.OnceOnly, findLostOrDuplicated(writes, stored), `${MEMBERS} nights sent ${MEMBERS * 2} times, ${stored.length} rows found`);
	},
};

type SyncedNight = SentWrite & {
	/** Whether both proxies answered that the sync is done. */
	readonly bothDone: boolean;
};

async function syncTwice(demo: Demo, member: string): Promise<SyncedNight> {
	const {balancer, clock, random} = demo;
	const band = createCaller({...demo, group: SLEEP_LOGS});
	const sentAt = clock.now();
	const req = {
		kind: RequestKind.Write,
		statement: 'INSERT INTO nights (member, batch, mark) VALUES ($1, $2, $3)',
		values: [member, 'sync', member],
		requestId: createRequestId(clock.wall(), random),
		class: WorkClass.Deadline,
	};
	// Sent concurrently, so that neither proxy knows of the other's request.
	const [first, second] = await Promise.all([band.ask(balancer.next(), req), band.ask(balancer.next(), {...req, attempt: 2})]);
	const done = [first, second].find(({outcome}) => outcome === Outcome.Done);
	const queried = done ? undefined : await band.queryOutcome(req.requestId);
	const end = done ?? queried?.answer ?? second;
	return {
		mark: member,
		outcome: end.outcome,
		code: end.refusal?.code,
		sentAt,
		answeredAt: clock.now(),
		bothDone: first.outcome === Outcome.Done && second.outcome === Outcome.Done,
	};
}

async function readMembers(demo: Demo): Promise<string[]> {
	const {answer} = await createCaller({...demo, group: SLEEP_LOGS}).send({
		kind: RequestKind.Read, statement: 'SELECT mark FROM nights WHERE batch = $1', values: ['sync'], latest: true,
	});
	return (answer.rows ?? []).map(row => row.mark as string);
}
