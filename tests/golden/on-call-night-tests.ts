import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {expect} from 'chai';
import {hashToken} from '../../src/operators/create-operator-access.js';
import {createRequestId} from '../../src/random/request-id.js';
import {Outage} from '../../src/stand-ins/platform/platform-faults.js';
import {formatInstant} from '../../src/time/format-time.js';
import {BOOTSTRAP_TOKEN, createOnCallBench} from './on-call-bench.js';

/** The expected transcript. UPDATE_GOLDEN=1 rewrites it, and the new one must be reviewed before it is committed. */
const GOLDEN = new URL('on-call-night.txt', import.meta.url);

const CREATE_NIGHTS = 'create group nights '
	+ 'with endpoint nights-a at 10.0.0.1:5432 in hall-a connections 20 slots 3, '
	+ 'endpoint nights-b at 10.0.0.2:5432 in hall-b connections 20 slots 3, '
	+ 'endpoint nights-c at 10.0.0.3:5432 in hall-c connections 20 slots 3';

/** Creates a bench that keeps a transcript of notes, and of commands with their answers and times. */
function createNight() {
	const bench = createOnCallBench();
	const lines: string[] = [];
	const tokens: Record<string, string> = {
		bootstrap: BOOTSTRAP_TOKEN, dana: 'the token of dana', marco: 'the token of marco', iva: 'the token of iva',
	};

	return {
		bench,
		lines,
		tokens,
		note(text: string) {
			lines.push('', `# ${text}`);
		},
		async pass(ms: number) {
			await bench.clock.advance(ms);
		},
		async ask(who: string, host: number, command: string, changeId?: string) {
			const answer = await bench.run(host - 1, tokens[who] ?? '', command, changeId);
			const time = formatInstant(bench.clock.wall()).slice(11, 19);
			lines.push('', `${time} ${who}@entry-${host}> ${command}`, answer ? `[${answer.status}]\n${answer.text}` : '[no operator has this token]');
			return answer;
		},
	};
}

describe('on-call night', () => {
	// Many reads are refused, the host that refused them is replaced, and two operators respond to the alarm at the same time.
	// The transcript contains everything that they see.
	it('gives the golden transcript', async () => {
		const night = createNight();
		const {bench} = night;
		const [entry1] = bench.hosts;
		await entry1!.start!();

		night.note('A new system: the token in the settings lets in the first operators.');
		await night.ask('bootstrap', 1, `create operator dana role operate token-hash ${hashToken(night.tokens.dana!)}`);
		await night.ask('bootstrap', 1, `create operator marco role operate token-hash ${hashToken(night.tokens.marco!)}`);
		await night.ask('bootstrap', 1, `create operator iva role view token-hash ${hashToken(night.tokens.iva!)}`);
		await bench.access.refresh();
		await night.ask('dana', 1, CREATE_NIGHTS);
		await night.ask('eve', 1, 'show operators');
		await night.ask('dana', 1, 'show operators');

		const longWrite = createRequestId(bench.clock.wall(), bench.random);
		const pull = createRequestId(bench.clock.wall(), bench.random);
		bench.setState('nights-a', {
			role: 'primary', term: 7, log: {term: 7, position: 48_210}, running: 3, queued: 200,
			work: [{
				what: 'write', requestId: longWrite, host: 'entry-2', since: bench.clock.wall() + (8 * 3_600_000) - 41_000,
			}],
		});
		bench.setState('nights-b', {
			role: 'replica', term: 7, log: {term: 7, position: 48_210}, ageMs: 40, running: 1,
		});
		bench.setState('nights-c', {
			role: 'replica', term: 7, log: {term: 7, position: 48_190}, ageMs: 620,
		});
		await night.pass(8 * 3_600_000);

		night.note('The alarm: pulls of group nights are refused by the hundred. A coach reads out the id of hers.');
		const record = bench.createRecord();
		const ticket = entry1!.record(record);
		for (let index = 0; index < 300; index++) {
			entry1!.record(bench.createRecord());
		}

		bench.recentSessions.note({
			session: {id: '5f0c2b9a', issuedAt: 0, floors: {nights: {term: 7, position: 48_207}}}, group: 'nights', requestId: record.requestId, at: bench.clock.wall(),
		});
		await night.pass(2000);
		await night.ask('iva', 2, `why ${record.requestId}`);
		await night.ask('iva', 2, 'show session 5f0c2b9a');
		await night.ask('iva', 2, 'show endpoints of group nights');
		await night.ask('iva', 2, 'drain endpoint nights-a');

		night.note('Host entry-1 is replaced, and all that it had in memory is gone.');
		await night.pass(30_000);
		bench.kill(0);
		await night.ask('dana', 2, 'show hosts');
		await night.ask('dana', 2, `why ${record.requestId}`);
		await night.ask('dana', 2, `why ${ticket}`);
		await night.ask('dana', 2, `why ${ticket.slice(0, -1)}${ticket.endsWith('A') ? 'Q' : 'A'}`);
		await night.ask('dana', 2, `why ${pull}`);

		night.note('One write holds a slot of nights-a for long. Dana drains it, with a slip first.');
		await night.ask('dana', 2, 'drain nights-a');
		const drainId = createRequestId(bench.clock.wall(), bench.random);
		await night.ask('dana', 2, 'drain endpoint nights-a', drainId);
		await night.pass(2000);
		night.note('Marco has seen the same alarm and wants the endpoint back, two seconds later.');
		await night.ask('marco', 3, 'resume endpoint nights-a');
		await night.ask('marco', 3, 'drain endpoint nights-b');
		await night.ask('marco', 3, 'set group nights read-age 5s');
		night.note('The client of Dana saw no answer and sends its command again.');
		await night.ask('dana', 3, 'drain endpoint nights-a', drainId);
		await night.ask('dana', 3, 'show endpoints of group nights');

		bench.setState('nights-a', {
			role: 'replica', running: 0, queued: 0, work: [],
		});
		bench.setState('nights-b', {
			role: 'primary', term: 8, log: {term: 8, position: 48_260}, ageMs: undefined,
		});
		await night.pass(6000);
		night.note('The primary\'s role has moved, the last write has ended.');
		await night.ask('dana', 2, 'show endpoints of group nights');
		await night.ask('dana', 2, 'stop endpoint nights-a');
		await night.ask('dana', 2, 'promote endpoint nights-c');
		await night.ask('dana', 2, 'show groups');

		night.note('The platform goes down. What is kept answers, and nothing can be changed.');
		bench.platform.faultInjector.faults.outage = Outage.Silent;
		await night.ask('dana', 2, 'set group nights owners 3');
		await night.ask('dana', 2, `why ${ticket}`);
		bench.platform.faultInjector.faults.outage = Outage.None;

		night.note('In the morning: what was changed, by whom.');
		await night.pass(3_600_000);
		await night.ask('iva', 2, 'show changes of nights');
		await night.ask('iva', 2, 'show changes last 3');
		await night.ask('iva', 2, 'help drain');

		const transcript = `${night.lines.join('\n').trim()}\n`;
		if (process.env.UPDATE_GOLDEN) {
			writeFileSync(GOLDEN, transcript);
		}

		expect(transcript).to.equal(readFileSync(GOLDEN, 'utf8'));
	});
});
