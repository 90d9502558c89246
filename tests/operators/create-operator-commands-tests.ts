import {expect} from 'chai';
import {IN_FORCE_MS} from '../../src/audit/create-change-applier.js';
import {getHelp} from '../../src/language/help.js';
import {hashToken} from '../../src/operators/create-operator-access.js';
import {createRequestId} from '../../src/random/request-id.js';
import {Outage} from '../../src/stand-ins/platform/platform-faults.js';
import {BOOTSTRAP_TOKEN, createOnCallBench} from '../golden/on-call-bench.js';

const createOf = (group: string, ...endpoints: string[]) => `create group ${group} with `
	+ endpoints.map((name, index) => `endpoint ${name} at 10.0.0.${index + 1}:5432 in hall-a connections 20 slots 3`).join(', ');

async function createBench() {
	const bench = createOnCallBench();
	await bench.run(0, BOOTSTRAP_TOKEN, `create operator iva role view token-hash ${hashToken('token of iva')}`);
	await bench.run(0, BOOTSTRAP_TOKEN, `create operator dana role operate token-hash ${hashToken('token of dana')}`);
	await bench.access.refresh();
	await bench.run(0, BOOTSTRAP_TOKEN, createOf('nights', 'nights-a', 'nights-b', 'nights-c'));
	await bench.run(0, BOOTSTRAP_TOKEN, createOf('studios', 'nights-a', 'studios-b', 'studios-c'));
	await bench.clock.advance(IN_FORCE_MS);
	bench.setState('nights-a', {role: 'primary'});
	return bench;
}

describe('operators\' commands', () => {
	describe('answer', () => {
		const doTest = (command: string, expected: string) => {
			it(command, async () => {
				const bench = await createBench();
				const answer = await bench.run(0, BOOTSTRAP_TOKEN, command);
				expect(`${answer!.status}: ${answer!.text}`.replaceAll(/\d{4}-\d\d-\d\d [\d:.]+ UTC/gv, 'T')).to.equal(expected);
			});
		};

		const nothing = 'refused: Refused, nothing was changed:';
		doTest('show endpoints of group none', 'refused: Refused: this host knows no group none.');
		doTest('show config of group none', 'refused: Refused: this host knows no group none.');
		doTest('show changes of none', 'ok: (none)');
		doTest('show sessions', 'ok: (none)');
		doTest('show session none', 'refused: No host has seen session none lately. A session lives in its token, so it may still be in use.');
		doTest('help nothing', 'refused: No command begins with "nothing"; help lists them all.');
		doTest('show config of group nights', [
			'ok: Revision 4.',
			'nights, version 3: read-age 1 min, durability majority, shares deadline 50% interactive 30% background 10%, owners 2, key-retention 1 d',
			'    nights-a at 10.0.0.1:5432 in hall-a, connections 20, slots 3, order serve',
			'    nights-b at 10.0.0.2:5432 in hall-a, connections 20, slots 3, order serve',
			'    nights-c at 10.0.0.3:5432 in hall-a, connections 20, slots 3, order serve',
		].join('\n'));
		doTest('set group none owners 3', `${nothing} the group none is not there.`);
		doTest('set group nights owners 2', 'ok: Nothing to change, it stands so already.');
		doTest('set group nights shares deadline 70%', `${nothing} the shares would add up to 110%, and 100% is all there is.`);
		doTest('set group nights shares deadline 60%', 'ok: Done: "set group nights shares deadline 60%" by bootstrap at T. '
		+ 'From classShares {"deadline":0.5,"interactive":0.3,"background":0.1} to classShares {"deadline":0.6,"interactive":0.3,"background":0.1}. In force everywhere within 6 s.');
		doTest('drain endpoint none', `${nothing} this host knows no endpoint none.`);
		doTest('drain endpoint nights-a', `${nothing} the groups nights and studios each have an endpoint nights-a; add "of group GROUP".`);
		doTest('drain endpoint studios-b of group nights', `${nothing} the group nights has no endpoint studios-b; it has nights-a, nights-b, nights-c.`);
		doTest(createOf('nights', 'x'), `${nothing} the group nights is there already. What stands: "${createOf('nights', 'nights-a', 'nights-b', 'nights-c')}" by bootstrap at T.`);
		doTest(createOf('more', 'x', 'x'), `${nothing} two endpoints have x.`);
		doTest(createOf('operators', 'x'), `${nothing} the audit trail calls its own object operators; take another name.`);
		doTest('delete operator none', `${nothing} there is no operator none.`);
		doTest(`create operator iva role view token-hash ${'0'.repeat(64)}`, `${nothing} the operator iva is there already; delete them first. `
		+ 'What stands: "create operator iva role view token-hash …" by bootstrap at T.');
		doTest(`create operator eve role view token-hash ${hashToken('token of iva')}`, `${nothing} another operator has this token.`);
		doTest(`create operator bootstrap role view token-hash ${'0'.repeat(64)}`, `${nothing} bootstrap is the operator of the settings' own token.`);
		doTest('promote endpoint nights-a of group nights', 'ok: Nothing to change, it stands so already.');
	});

	describe('order endpoints', () => {
		const doTest = (title: string, prepare: (bench: Awaited<ReturnType<typeof createBench>>) => unknown, command: string, expected: string) => {
			it(title, async () => {
				const bench = await createBench();
				await prepare(bench);
				const answer = await bench.run(0, BOOTSTRAP_TOKEN, command);
				expect(answer!.text).to.include(expected);
			});
		};

		const unreachable = (...names: string[]) => (bench: Awaited<ReturnType<typeof createBench>>) => {
			for (const name of names) {
				bench.setState(name, {reachable: false});
			}
		};

		const drainA = 'drain endpoint nights-a of group nights';
		doTest('unless fewer than a majority that responds would remain', unreachable('nights-c'), 'stop endpoint nights-b', 'a majority is 2: nights-c gives no answer');
		doTest('also where the ordered endpoint itself does not respond', unreachable('nights-c'), 'stop endpoint nights-c', 'Done');
		doTest('unless no endpoint could take over from the primary', unreachable('nights-b', 'nights-c'), drainA, 'nights-a is the primary, and no endpoint is left to take over: nights-b gives');
		doTest('unless a remaining endpoint was seen by no owner', bench => {
			bench.setState('nights-b', {seen: false});
		}, drainA, 'nights-b was seen by no owner');
		doTest('unless a remaining endpoint is leaving', bench => {
			bench.setState('nights-b', {leaving: true});
		}, drainA, 'nights-b is leaving');
		const before = async (bench: Awaited<ReturnType<typeof createBench>>) => bench.run(1, BOOTSTRAP_TOKEN, drainA);
		doTest('a second time without effect', before, drainA, 'Nothing to change, it stands so already: "drain endpoint nights-a of group nights" by bootstrap');
		doTest('to stop after a drain', before, 'stop endpoint nights-a of group nights', 'From order of nights-a drain to order of nights-a stop');
		doTest('to be promoted only where they serve', async bench => bench.run(1, BOOTSTRAP_TOKEN, 'drain endpoint nights-b'), 'promote endpoint nights-b', 'nights-b drains');
		doTest('to be promoted only where they respond', unreachable('nights-b'), 'promote endpoint nights-b', 'no owner reaches nights-b');
	});

	// The order to promote is recorded in the audit trail, and then the owners cannot carry it out. Without a note of that,
	// the trail would name a primary that never existed.
	it('record in the audit trail that a promotion failed', async () => {
		const bench = await createBench();
		bench.failPromotions('nights-b is behind by 40 entries');
		const answer = await bench.run(0, 'token of dana', 'promote endpoint nights-b');
		const text = 'Refused, nights-b was not promoted: nights-b is behind by 40 entries. The audit trail has the order and that it failed.';
		expect(answer).to.include({status: 'refused', text});
		const changes = await bench.run(0, 'token of dana', 'show changes of nights last 2');
		expect((changes!.data as Array<{who: string; what: string}>).map(({who, what}) => `${who}: ${what}`)).to.deep.equal([
			'dana: promote endpoint nights-b failed: nights-b is behind by 40 entries', 'dana: promote endpoint nights-b',
		]);
	});

	it('carry out a promotion once where it is sent twice', async () => {
		const bench = await createBench();
		const changeId = createRequestId(bench.clock.wall(), bench.random);
		await bench.run(0, BOOTSTRAP_TOKEN, 'promote endpoint nights-b', changeId);
		await bench.clock.advance(IN_FORCE_MS);
		await bench.run(0, BOOTSTRAP_TOKEN, 'promote endpoint nights-c');
		const again = await bench.run(1, BOOTSTRAP_TOKEN, 'promote endpoint nights-b', changeId);
		expect(again!.text).to.match(/^Done before/v).and.match(/What stands now: show changes of nights\.$/v);
		expect(bench.promotions).to.deep.equal(['nights-b', 'nights-c']);
	});

	describe('are refused for an operator with the role view', () => {
		for (const {example} of getHelp()) {
			if (!/^(?:help|why|show) /v.test(example)) {
				it(example, async () => {
					const bench = await createBench();
					const before = bench.store.revision;
					const answer = await bench.run(0, 'token of iva', example);
					expect(answer).to.include({status: 'refused', text: 'Refused, nothing was changed: iva may view, and not change anything.'});
					expect(bench.store.revision).to.equal(before);
				});
			}
		}
	});

	// Dana is deleted. A host whose watch has gone silent still identifies her as an operator.
	it('are refused, where they change something, for a deleted operator at a host that has not received the deletion', async () => {
		const bench = await createBench();
		await bench.runThroughOtherHost('delete operator dana');
		expect(bench.access.identify('token of dana')).to.deep.equal({name: 'dana', role: 'operate'});
		const answer = await bench.run(0, 'token of dana', 'set group nights read-age 1s');
		expect(answer).to.include({status: 'refused', text: 'Refused, nothing was changed: dana may not change anything any more.'});
	});

	it('are malformed with an invalid change id', async () => {
		const bench = await createBench();
		expect(await bench.run(0, BOOTSTRAP_TOKEN, 'set group nights owners 3', 'seven')).to.include({status: 'malformed', text: 'the change id must be a UUIDv7'});
	});

	it('are refused where they need the platform and it does not respond', async () => {
		const bench = await createBench();
		bench.platform.faultInjector.faults.outage = Outage.Silent;
		expect(await bench.run(0, BOOTSTRAP_TOKEN, 'show changes')).to.include({status: 'refused', text: 'Refused: the platform gave no answer to list group.'});
	});
});
