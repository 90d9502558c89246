import {expect} from 'chai';
import {MAX_LIVE_ENTRIES, MIN_LIVE_ENTRIES} from '../../src/audit/audit-archive.js';
import {createAuditTrail} from '../../src/audit/audit-trail.js';
import {groupKind, type GroupState} from '../../src/audit/audited-kinds.js';
import type {Change, ChangeAnswer} from '../../src/audit/change.js';
import {createChangeApplier, IN_FORCE_MS} from '../../src/audit/create-change-applier.js';
import type {GroupCommand} from '../../src/language/command.js';
import {parseCommand} from '../../src/language/parse-command.js';
import {createGroupChange} from '../../src/operators/group-change.js';
import type {EndpointRow} from '../../src/operators/fleet-view.js';
import {createRequestId} from '../../src/random/request-id.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createInMemoryPlatform, type InMemoryPlatform} from '../../src/stand-ins/platform/in-memory-platform.js';
import {createObjectStore} from '../../src/stand-ins/platform/object-store.js';
import {Outage} from '../../src/stand-ins/platform/platform-faults.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

const CREATE = 'create group nights with endpoint nights-a at 10.0.0.1:5432 in hall-a connections 20 slots 3, '
	+ 'endpoint nights-b at 10.0.0.2:5432 in hall-b connections 20 slots 3, '
	+ 'endpoint nights-c at 10.0.0.3:5432 in hall-c connections 20 slots 3';

/** Creates two proxies, each with its own connection to one store. */
function createBench() {
	const clock = createVirtualClock();
	const random = createSeededRandom(11);
	const store = createObjectStore({clock});
	const platforms = [createInMemoryPlatform({store, clock}), createInMemoryPlatform({store, clock})] as const;
	const proxies = platforms.map(platform => createChangeApplier({platform, clock, random}));
	const rows: EndpointRow[] = ['nights-a', 'nights-b', 'nights-c'].map((name, index) => ({
		group: 'nights', name, address: `10.0.0.${index + 1}:5432`, availabilityZone: 'hall-a', order: 'serve', seen: true, reachable: true,
		leaving: false, role: index === 0 ? 'primary' : 'replica', running: 0, work: [], queued: 0,
	}));

	const send = async (proxy: 0 | 1, who: string, text: string, changeId = createRequestId(clock.wall(), random)) => {
		const parsed = parseCommand(text);
		const command = (parsed.ok ? parsed.command : undefined) as GroupCommand & {group: string};
		const change = createGroupChange(command, text, rows);
		return proxies[proxy]!.apply(groupKind, 'nights', change, {who, changeId});
	};

	const run = async (proxy: 0 | 1, who: string, text: string, changeId?: string) => clock.runUntil(send(proxy, who, text, changeId));

	const getTrail = async (last = 1000, subject = 'nights') => {
		const rowsOfTrail = await createAuditTrail({platform: createInMemoryPlatform({store, clock})}).getChanges(subject === '' ? undefined : subject, last);
		return rowsOfTrail.map(row => `${row.who}: ${row.what}`);
	};

	const getConfig = () => groupKind.parse(store.get('group', 'nights')!.value).state!.cfg;

	return {
		clock, random, store, platforms, rows, send, run, getTrail, getConfig, changes: proxies[0]!,
		async createGroup() {
			await run(0, 'dana', CREATE);
			await clock.advance(IN_FORCE_MS);
		},
		slow(...slowPlatforms: InMemoryPlatform[]) {
			for (const platform of slowPlatforms) {
				platform.faultInjector.faults.requestDelayMs = 10;
			}
		},
	};
}

function describeAnswer(answer: ChangeAnswer): string {
	switch (answer.result) {
		case 'applied': {
			return `applied${answer.repeated ? ' before' : ''}: ${JSON.stringify(answer.entry.from)} to ${JSON.stringify(answer.entry.to)}`;
		}

		case 'unchanged': {
			return `unchanged, by ${answer.by?.who}`;
		}

		case 'refused': {
			const {reason, beatenBy} = answer;
			return `refused: ${reason}${beatenBy ? ` (${beatenBy.who} at ${beatenBy.at}: ${beatenBy.what})` : ''}`;
		}

		case 'unknown': {
			return 'unknown';
		}
	}
}

describe('changes', () => {
	// Two operators react to the same alarm: each sets the read-age limit at the same moment through a different proxy, and
	// both proxies read the same version. Without the conditional update one change would be lost although its sender was
	// told that it was applied.
	it('of two operators at the same moment: one is applied, the other is refused with the author and time of the first', async () => {
		const bench = createBench();
		await bench.createGroup();
		bench.slow(...bench.platforms);
		const at = bench.clock.wall() + 10;
		const [first, second] = await bench.clock.runUntil(Promise.all([
			bench.send(0, 'dana', 'set group nights read-age 5s'),
			bench.send(1, 'marco', 'set group nights read-age 30s'),
		]));
		expect(describeAnswer(first)).to.equal('applied: {"readAgeLimitMs":60000} to {"readAgeLimitMs":5000}');
		expect(describeAnswer(second)).to.equal(`refused: someone else changed the same at the same time (dana at ${at}: set group nights read-age 5s)`);
		expect(bench.getConfig().readAgeLimitMs).to.equal(5000);
		expect(await bench.getTrail()).to.deep.equal(['dana: set group nights read-age 5s', `dana: ${CREATE}`]);
	});

	describe('of two operators, the second', () => {
		const doTest = (title: string, texts: [string, string], waitMs: number, expected: string) => {
			it(title, async () => {
				const bench = createBench();
				await bench.createGroup();
				bench.slow(...bench.platforms);
				const first = bench.send(0, 'dana', texts[0]);
				await bench.clock.advance(waitMs);
				const answers = await bench.clock.runUntil(Promise.all([first, bench.send(1, 'marco', texts[1])]));
				expect(describeAnswer(answers[0])).to.match(/^applied/v);
				expect(describeAnswer(answers[1]).replaceAll(/ at \d+/gv, '').slice(0, expected.length)).to.equal(expected);
			});
		};

		const readAge = 'set group nights read-age 5s';
		const conflict = 'refused: someone else changed the same at the same time (dana: ';
		doTest('is applied as well where the fields differ', [readAge, 'set group nights owners 3'], 0, 'applied: {"owners":2} to {"owners":3}');
		doTest('is refused while the first cannot be in force yet', [readAge, 'set group nights read-age 9s'], IN_FORCE_MS - 1000, conflict);
		doTest('is applied once the first is in force', [readAge, 'set group nights read-age 9s'], IN_FORCE_MS + 1000, 'applied: {"readAgeLimitMs":5000} to {"readAgeLimitMs":9000}');
		doTest('is told that the state is already as requested', [readAge, readAge], 0, 'unchanged, by dana');
		doTest('is refused a conflicting order on the same endpoint', ['drain endpoint nights-b', 'stop endpoint nights-b'], 0, conflict);
		doTest('is told that the same order was already given', ['drain endpoint nights-b', 'drain endpoint nights-b'], 0, 'unchanged, by dana');
		const noMajority = 'refused: 1 of 3 endpoints would be left, and a majority is 2: nights-b drains (dana: drain endpoint nights-b)';
		doTest('is refused an order that together with the first would stop the group', ['drain endpoint nights-b', 'drain endpoint nights-c'], 0, noMajority);
		doTest('is refused a change of what the first deletes', ['delete group nights', readAge], 0, 'refused: the group nights was deleted (dana: delete group nights)');
		doTest('is refused the deletion of what the first changes', [readAge, 'delete group nights'], 0, conflict);
		doTest('is refused another promotion', ['promote endpoint nights-b', 'promote endpoint nights-c'], 0, conflict);
	});

	// The owners promote another primary by themselves and record a note. An operator who orders a promotion within the same
	// seconds cannot have seen it. The note must not be reported as a conflict with other changes.
	it('of an operator conflict with a promotion that the owners made at the same time only if they promote, too', async () => {
		const bench = createBench();
		await bench.createGroup();
		const note: Change<GroupState> = {
			what: 'nights-b is primary of term 8',
			decide: current => ({
				kind: 'change', fields: [], state: current!, from: undefined, to: {primary: 'nights-b', term: 8},
			}),
		};
		await bench.clock.runUntil(bench.changes.apply(groupKind, 'nights', note, {who: 'failover entry-1', changeId: createRequestId(bench.clock.wall(), bench.random)}));
		expect(describeAnswer(await bench.run(0, 'dana', 'promote endpoint nights-c'))).to.match(/\(failover entry-1 at \d+: nights-b is primary of term 8\)$/v);
		expect(describeAnswer(await bench.run(0, 'dana', 'set group nights owners 3'))).to.match(/^applied/v);
		expect(describeAnswer(await bench.run(0, 'dana', CREATE))).to.match(/is there already \(dana at/v);
	});

	it('that create a group twice: the second is refused with the author of the first', async () => {
		const bench = createBench();
		bench.slow(...bench.platforms);
		const answers = await bench.clock.runUntil(Promise.all([bench.send(0, 'dana', CREATE), bench.send(1, 'marco', CREATE)]));
		expect(answers.map(answer => describeAnswer(answer).split(' (')[0]!.slice(0, 40))).to.deep.equal([
			'applied: {"exists":false} to {"exists":t', 'refused: the group nights is there alrea',
		]);
		expect(describeAnswer(answers[1])).to.include('(dana at');
	});

	// The platform commits the change, and its response is lost. If the change were sent again without reading the trail, it
	// would be refused as a conflict with another author's change, or be in the audit trail twice.
	it('whose response is lost after they took effect are recognized by their id', async () => {
		const bench = createBench();
		await bench.createGroup();
		bench.platforms[0].faultInjector.faults.lostAnswers = 1;
		const answer = await bench.run(0, 'dana', 'set group nights read-age 5s');
		expect(describeAnswer(answer)).to.equal('applied: {"readAgeLimitMs":60000} to {"readAgeLimitMs":5000}');
		expect(await bench.getTrail()).to.have.length(2);
	});

	// The response is lost, and before the proxy reads the trail, the same field is changed again. The first change did take
	// effect: it must not be reported as refused, and it must not be applied again over the later one.
	it('whose response is lost are reported as applied, also after a later change to the same field', async () => {
		const bench = createBench();
		await bench.createGroup();
		bench.platforms[0].faultInjector.faults.lostAnswers = 1;
		const first = bench.send(0, 'dana', 'set group nights read-age 5s');
		await bench.clock.advance(1);
		await bench.run(1, 'dana', 'set group nights read-age 9s');
		expect(describeAnswer(await bench.clock.runUntil(first))).to.match(/^applied: .* to \{"readAgeLimitMs":5000\}$/v);
		expect(bench.getConfig().readAgeLimitMs).to.equal(9000);
		expect(await bench.getTrail()).to.have.length(3);
	});

	// A proxy dies between the update and its answer. The operator's client sends the command again through another proxy
	// with the same change id.
	it('sent twice through different proxies take effect once', async () => {
		const bench = createBench();
		await bench.createGroup();
		const changeId = createRequestId(bench.clock.wall(), bench.random);
		await bench.run(0, 'dana', 'drain endpoint nights-b', changeId);
		await bench.clock.advance(60_000);
		await bench.run(0, 'marco', 'resume endpoint nights-b');
		const again = await bench.run(1, 'dana', 'drain endpoint nights-b', changeId);
		expect(describeAnswer(again)).to.equal('applied before: {"order of nights-b":"serve"} to {"order of nights-b":"drain"}');
		expect(bench.getConfig().endpoints[1]!.order).to.equal('serve');
		expect(await bench.getTrail()).to.have.length(3);
		const other = await bench.run(1, 'dana', 'stop endpoint nights-b', changeId);
		expect(describeAnswer(other)).to.match(/^refused: the change id stands for another command: drain endpoint nights-b/v);
	});

	describe('with the platform down', () => {
		const doTest = (title: string, outage: Outage, afterMs: number, expected: string, inForce: number) => {
			it(title, async () => {
				const bench = createBench();
				await bench.createGroup();
				bench.slow(bench.platforms[0]);
				bench.platforms[0].faultInjector.faults.answerDelayMs = 10;
				const answer = bench.send(0, 'dana', 'set group nights read-age 5s');
				await bench.clock.advance(afterMs);
				bench.platforms[0].faultInjector.faults.outage = outage;
				expect(describeAnswer(await bench.clock.runUntil(answer))).to.equal(expected);
				expect(bench.getConfig().readAgeLimitMs).to.equal(inForce);
			});
		};

		const nothingSent = 'refused: the platform gives no answer, and this host sent it nothing to change';
		doTest('from the start and silent are refused, nothing sent', Outage.Silent, 0, nothingSent, 60_000);
		doTest('from the start and responding with errors are refused, nothing sent', Outage.Refusing, 0, nothingSent, 60_000);
		doTest('while the update is on its way have an unknown result', Outage.Refusing, 25, 'unknown', 5000);
		doTest('after the update took effect have an unknown result', Outage.Refusing, 35, 'unknown', 5000);

		it('for a short time are applied once it responds again', async () => {
			const bench = createBench();
			await bench.createGroup();
			bench.platforms[0].faultInjector.faults.outage = Outage.Refusing;
			const answer = bench.send(0, 'dana', 'set group nights read-age 5s');
			await bench.clock.advance(5000);
			bench.platforms[0].faultInjector.faults.outage = Outage.None;
			expect(describeAnswer(await bench.clock.runUntil(answer))).to.match(/^applied:/v);
			expect(await bench.getTrail()).to.have.length(2);
		});
	});

	describe('of a long history', () => {
		const setOwners = (index: number) => `set group nights owners ${(index % 9) + 1}`;

		it('are each in the trail once, the old ones in archives', async () => {
			const bench = createBench();
			await bench.createGroup();
			for (let index = 2; index < 202; index++) {
				await bench.run(0, 'dana', setOwners(index));
			}

			const stored = groupKind.parse(bench.store.get('group', 'nights')!.value);
			expect(stored.audit.length).to.be.within(MIN_LIVE_ENTRIES, MAX_LIVE_ENTRIES);
			expect(bench.store.list('audit', 'group.nights.').objects).to.have.length(stored.nextArchive);
			const expected = Array.from({length: 200}, (_, index) => `dana: ${setOwners(201 - index)}`);
			expect(await bench.getTrail()).to.deep.equal([...expected, `dana: ${CREATE}`]);
			expect(await bench.getTrail(3)).to.deep.equal(expected.slice(0, 3));
		});

		// A proxy copies old entries to an archive and dies before it removes them from the object. The next proxy finds the
		// archive. If it wrote the entries again under the next number, they would be in the trail twice; if it removed them by
		// count, entries added in the meantime would be lost.
		it('are kept when a proxy dies in the middle of archiving', async () => {
			const bench = createBench();
			await bench.createGroup();
			// One archive exists, and the object contains the maximum number of entries.
			for (let index = 2; index < MAX_LIVE_ENTRIES + MIN_LIVE_ENTRIES + 1; index++) {
				await bench.run(0, 'dana', setOwners(index));
			}

			// The copy reaches the platform, the update of the object does not.
			bench.slow(bench.platforms[0]);
			const dying = bench.send(0, 'dana', 'set group nights read-age 1s');
			await bench.clock.advance(25);
			bench.platforms[0].faultInjector.faults.outage = Outage.Refusing;
			await bench.clock.runUntil(dying);
			bench.platforms[0].faultInjector.faults.outage = Outage.None;
			expect(bench.store.list('audit', '').objects).to.have.length(2);
			expect(groupKind.parse(bench.store.get('group', 'nights')!.value).nextArchive).to.equal(1);

			const before = await bench.getTrail();
			expect(before).to.have.length(MAX_LIVE_ENTRIES + MIN_LIVE_ENTRIES);
			expect(await bench.getTrail(1000, '')).to.deep.equal(before);
			await bench.run(1, 'marco', 'set group nights read-age 2s');
			expect(await bench.getTrail()).to.deep.equal(['marco: set group nights read-age 2s', ...before]);
			expect(groupKind.parse(bench.store.get('group', 'nights')!.value)).to.include({nextArchive: 2});
		});

		it('are kept where the archive of a proxy that died contains fewer entries than this one would move', async () => {
			const bench = createBench();
			await bench.createGroup();
			for (let index = 2; index < MAX_LIVE_ENTRIES + 1; index++) {
				await bench.run(0, 'dana', setOwners(index));
			}

			const {audit} = groupKind.parse(bench.store.get('group', 'nights')!.value);
			bench.store.put({
				kind: 'audit', name: 'group.nights.000000', value: {entries: audit.slice(0, 10)}, expectedVersion: 0,
			});
			const before = await bench.getTrail();
			await bench.run(1, 'marco', 'set group nights read-age 2s');
			expect(await bench.getTrail()).to.deep.equal(['marco: set group nights read-age 2s', ...before]);
		});

		it('are recognized by their id also once they are archived', async () => {
			const bench = createBench();
			await bench.createGroup();
			const changeId = createRequestId(bench.clock.wall(), bench.random);
			await bench.run(0, 'dana', 'set group nights read-age 5s', changeId);
			for (let index = 2; index < 102; index++) {
				await bench.run(0, 'dana', setOwners(index));
			}

			expect(describeAnswer(await bench.run(1, 'dana', 'set group nights read-age 5s', changeId))).to.match(/^applied before/v);
			expect(await bench.getTrail()).to.have.length(102);
		});
	});
});
