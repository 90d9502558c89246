import {Outcome} from '../callers/caller-response.js';
import {RequestKind} from '../callers/caller-request.js';
import {ExitCode} from '../cli/exit-code.js';
import {WorkClass} from '../groups/group-config.js';
import {RefusalCode} from '../refusals/refusal.js';
import {createCaller, type SentAnswer} from './caller.js';
import {FILINGS, type Scenario, type Demo} from './demo.js';
import {findUntrueRefusals, type SentWrite} from './verify-writes.js';
import type {CommandEnd} from './operator.js';
import {Guarantee} from './guarantees.js';

const CONCURRENT_FILINGS = 200;
const DEADLINE_MS = 250;
const TABLE = 'rush';

/** Sends more filings than the servers can process, with a deadline that many of them cannot meet. */
export const refuseAndExplain: Scenario = {
	title: 'Too many filings at once: refused in time, truthfully, and explained',
	why: 'A public body must explain every refusal when asked, also when the host that refused is gone.',
	async run(demo) {
		const {guarantees, output} = demo;
		const sent = await fileConcurrently(demo);
		const writes = sent.map(({write}) => write);
		const refused = sent.filter(({write}) => write.outcome === Outcome.NotRun);
		output.printLine(`${CONCURRENT_FILINGS} filings came in one moment, each to be done within ${DEADLINE_MS} ms: ${describeOutcomes(writes)}`);
		guarantees.check(Guarantee.TruthfulRefusal, findUntrueRefusals(writes, await readMarks(demo)), `${refused.length} refused filings compared with the rows`);
		const asked = refused.find(({write}) => write.code === RefusalCode.QueueFull) ?? refused[0];
		if (asked) {
			await explain(demo, asked.end);
		}
	},
};

type SubmittedWrite = {
	readonly write: SentWrite;
	readonly end: SentAnswer;
};

async function fileConcurrently(demo: Demo): Promise<readonly SubmittedWrite[]> {
	const {clock} = demo;
	return Promise.all(Array.from({length: CONCURRENT_FILINGS}, async (_, index) => {
		const mark = `rush-${index + 1}`;
		const sentAt = clock.now();
		const end = await createCaller({...demo, group: FILINGS}).send({
			kind: RequestKind.Write,
			statement: `INSERT INTO ${TABLE} (batch, mark) VALUES ($1, $2)`,
			values: ['rush', mark],
			class: WorkClass.Deadline,
			deadlineMs: DEADLINE_MS,
		});
		const {outcome, refusal} = end.answer;
		const write = {
			mark, outcome, code: refusal?.code, sentAt, answeredAt: clock.now(),
		};
		return {write, end};
	}));
}

/** Explains a refusal by the request's id before the refusing host is killed, and by the ticket afterwards. */
async function explain(demo: Demo, {answer, host}: SentAnswer): Promise<void> {
	const {balancer, dana, guarantees, output, system} = demo;
	const ticket = answer.refusal!.ticket!;
	const byId = await dana.run(`why ${answer.requestId}`, getOther(demo, host));
	output.printLine(`${host} refused request ${answer.requestId}; another host is asked why, by the id`);
	output.showCommand(`why ${answer.requestId}`, byId.text);

	await system.getProxyOrThrow(host).process.kill();
	balancer.remove(host);
	const byTicket = await dana.run(`why ${ticket}`, getOther(demo, host));
	output.printLine(`${host} is killed with all that it had in memory; the caller's ticket still explains`);
	output.showCommand(`why ${ticket}`, byTicket.text, 2);
	guarantees.check(
		Guarantee.Explained,
		[...findUnexplained('by its id', answer.requestId, byId), ...findUnexplained('by its ticket', answer.requestId, byTicket)],
		'asked by id at another host, and by ticket after the host was killed',
	);
}

function findUnexplained(how: string, requestId: string, {exitCode, text}: CommandEnd): string[] {
	const explained = exitCode === ExitCode.Ok && text.includes(requestId) && text.includes('The rule that decided');
	return explained ? [] : [`asked ${how}, the tool ended with ${exitCode} and said: ${text.trim()}`];
}

function getOther({balancer}: Demo, host: string) {
	return balancer.getLive().find(proxy => proxy.host.name !== host)!;
}

function describeOutcomes(writes: readonly SentWrite[]): string {
	const counts = new Map<string, number>();
	for (const {outcome, code} of writes) {
		const name = outcome === Outcome.Done ? outcome : `${outcome} (${code})`;
		counts.set(name, (counts.get(name) ?? 0) + 1);
	}

	return [...counts].map(([name, count]) => `${count} ${name}`).join(', ');
}

async function readMarks(demo: Demo): Promise<string[]> {
	const {answer} = await createCaller({...demo, group: FILINGS}).send({
		kind: RequestKind.Read, statement: `SELECT mark FROM ${TABLE} WHERE batch = $1`, values: ['rush'], latest: true,
	});
	return (answer.rows ?? []).map(row => row.mark as string);
}
