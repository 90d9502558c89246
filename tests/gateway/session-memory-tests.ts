import {Buffer} from 'node:buffer';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {expect} from 'chai';
import {
	createSessionMemory, MAX_SESSION_BYTES, MAX_SESSION_ENTRIES, rememberStatement, type SessionMemory,
} from '../../src/gateway/session-memory.js';
import {getFingerprint} from '../../src/workspaces/key-index.js';

const prepare = (memory: SessionMemory, name: string, shape = 'q1') => rememberStatement(memory, {kind: 'prepare', name, shape: {access: 'read', shape}});
const set = (memory: SessionMemory, name: string, value = '1') => rememberStatement(memory, {kind: 'set', name, value});

/** A session without a bound let one caller fill the memory of a host. */
describe('what a session remembers', () => {
	function createMemory() {
		return createSessionMemory('roster', getFingerprint(''));
	}

	it('is bounded in the number of prepared statements, until one is dropped', () => {
		const memory = createMemory();
		for (let i = 0; i < MAX_SESSION_ENTRIES; i++) {
			expect(prepare(memory, `s${i}`)).to.equal(true);
		}

		expect([prepare(memory, 'one more'), prepare(memory, 's0', 'q2')]).to.deep.equal([false, true]);
		rememberStatement(memory, {kind: 'forget', name: 's1'});
		expect([prepare(memory, 'one more'), memory.prepared.size]).to.deep.equal([true, MAX_SESSION_ENTRIES]);
	});

	it('is bounded in the number of values', () => {
		const memory = createMemory();
		const accepted = Array.from({length: MAX_SESSION_ENTRIES + 1}, (_, i) => set(memory, `v${i}`));
		expect([accepted.filter(Boolean).length, memory.values.size]).to.deep.equal([MAX_SESSION_ENTRIES, MAX_SESSION_ENTRIES]);
	});

	it('is bounded in bytes, and keeps what it had where something does not fit', () => {
		const memory = createMemory();
		const half = 'x'.repeat(MAX_SESSION_BYTES / 2);
		expect([set(memory, 'a', half.slice(1)), prepare(memory, 'b', half.slice(1))]).to.deep.equal([true, true]);
		expect([set(memory, 'c'), set(memory, 'a', half), prepare(memory, 'b', 'q1')]).to.deep.equal([false, false, true]);
		expect(memory.values.get('a')).to.equal(half.slice(1));
	});

	/** The names of values kept the whole messages in memory in which they had come: 100 of them some 96 MiB, counted as 2 kB. */
	it('keeps nothing of the messages in which it came', () => {
		setFlagsFromString('--expose-gc');
		const collect = runInNewContext('gc') as () => void;
		const memory = createMemory();
		collect();
		const before = process.memoryUsage().heapUsed;
		for (let i = 0; i < 40; i++) {
			const name = `name-of-a-session-value-${i}`;
			for (const value of ['x'.repeat(1_000_000), 'y']) {
				const line = Buffer.from(`${name} ${value}`, 'latin1').toString('latin1');
				set(memory, line.slice(0, name.length), line.slice(name.length + 1));
			}
		}

		collect();
		expect(memory.values.size).to.equal(40);
		expect(process.memoryUsage().heapUsed - before).to.be.lessThan(10_000_000);
	});
});
