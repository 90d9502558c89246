import {expect} from 'chai';
import {OPERATORS_OBJECT, operatorsKind, type OperatorRecord} from '../../src/audit/audited-kinds.js';
import type {Log, LogFields} from '../../src/log/log.js';
import {createOperatorAccess, hashToken} from '../../src/operators/create-operator-access.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createInMemoryPlatform} from '../../src/stand-ins/platform/in-memory-platform.js';
import {createObjectStore} from '../../src/stand-ins/platform/object-store.js';
import {Outage} from '../../src/stand-ins/platform/platform-faults.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

const DANA: OperatorRecord = {name: 'dana', role: 'operate', tokenHash: hashToken('token of dana')};
const IVA: OperatorRecord = {name: 'iva', role: 'view', tokenHash: hashToken('token of iva')};

function createBench() {
	const clock = createVirtualClock();
	const store = createObjectStore({clock});
	const platform = createInMemoryPlatform({store, clock});
	const logged: string[] = [];
	const write = (sentence: string, fields?: LogFields) => {
		logged.push(sentence, String(fields?.err));
	};

	const log: Log = {
		debug: write, info: write, warn: write, error: write, withPrefix: () => log,
	};
	const access = createOperatorAccess({
		platform, clock, log, random: createSeededRandom(1), bootstrapTokenHash: hashToken('token of the settings').toUpperCase(),
	});
	let version = 0;
	return {
		clock,
		platform,
		access,
		logged,
		put(...operators: OperatorRecord[]) {
			const value = operatorsKind.format({state: operators, audit: [], nextArchive: 0});
			version = store.put({
				kind: 'system', name: OPERATORS_OBJECT, value, expectedVersion: version,
			}).version;
		},
	};
}

describe('operators\' access', () => {
	describe('identifies', () => {
		const doTest = (title: string, token: string | undefined, expected: unknown) => {
			it(title, async () => {
				const bench = createBench();
				bench.put(DANA, IVA);
				await bench.access.refresh();
				expect(bench.access.identify(token)).to.deep.equal(expected);
			});
		};

		doTest('an operator by their token', 'token of dana', {name: 'dana', role: 'operate'});
		doTest('an operator with the role view', 'token of iva', {name: 'iva', role: 'view'});
		doTest('the holder of the token from the settings', 'token of the settings', {name: 'bootstrap', role: 'operate'});
		doTest('nobody without a token', undefined, undefined);
		doTest('nobody with an empty token', '', undefined);
		doTest('nobody with an unknown token', 'token of eve', undefined);
		doTest('nobody with a token in different case', 'TOKEN OF DANA', undefined);
		doTest('nobody with the hash itself', DANA.tokenHash, undefined);
	});

	it('applies changes as they arrive, and keeps the known operators during an outage of the platform', async () => {
		const bench = createBench();
		await bench.access.start!();
		expect(bench.access.identify('token of dana')).to.equal(undefined);
		bench.put(DANA);
		await bench.clock.advance(10);
		expect(bench.access.identify('token of dana')).to.deep.equal({name: 'dana', role: 'operate'});
		bench.platform.faultInjector.faults.outage = Outage.Refusing;
		await bench.clock.advance(3_600_000);
		expect(bench.access.identify('token of dana')).to.deep.equal({name: 'dana', role: 'operate'});
		bench.platform.faultInjector.faults.outage = Outage.None;
		bench.put(IVA);
		await bench.clock.advance(10_000);
		expect(bench.access.identify('token of dana')).to.equal(undefined);
		expect(bench.access.isCurrent({name: 'dana', role: 'operate'})).to.equal(false);
		await bench.access.stop!();
		const secrets = /token of|[\da-f]{64}/v;
		expect(bench.logged.filter(line => secrets.test(line))).to.deep.equal([]);
	});

	// An operator is deleted. A delayed response of the platform from before that arrives after the newer one.
	it('never returns to an older version', async () => {
		const bench = createBench();
		bench.put(DANA);
		bench.platform.faultInjector.faults.overtakenMs = 1000;
		const late = bench.access.refresh();
		await bench.clock.advance(10);
		bench.put(IVA);
		await bench.clock.runUntil(bench.access.refresh());
		await bench.clock.runUntil(late);
		expect(bench.access.identify('token of dana')).to.equal(undefined);
		expect(bench.access.identify('token of iva')).to.deep.equal({name: 'iva', role: 'view'});
	});
});
