import {expect} from 'chai';
import {isDatabaseError} from '../../../src/stand-ins/database/database-errors.js';
import {createDatabaseState} from '../../../src/stand-ins/database/database-state.js';
import {executeStatement} from '../../../src/stand-ins/database/statement-execution.js';
import {parseStatement} from '../../../src/stand-ins/database/statement.js';

describe('statements of the stand-in server', () => {
	const run = (state: ReturnType<typeof createDatabaseState>, text: string, values: readonly unknown[]) => {
		try {
			const {rows, changes} = executeStatement(parseStatement(text), values, state);
			state.apply({changes});
			return JSON.stringify(rows);
		} catch (err) {
			return isDatabaseError(err) ? err.message : String(err);
		}
	};

	const SETUP = [
		'CREATE TABLE nights (member text, night date, score int)',
		'INSERT INTO nights (member, night, score) VALUES (\'ana\', \'2026-01-04\', 7)',
		'insert into nights (member, night) values (\'ben\', \'it\'\'s, late\');',
		'INSERT INTO nights (member, night, score) VALUES (\'ana\', \'2026-01-02\', 9)',
	];

	const doTest = (text: string, values: readonly unknown[], expected: string) => {
		it(`${text} ${JSON.stringify(values)}`, () => {
			const state = createDatabaseState();
			for (const line of SETUP) {
				expect(run(state, line, [])).to.equal('[]');
			}

			expect(run(state, text, values)).to.equal(expected);
		});
	};

	doTest('SELECT * FROM nights WHERE member = $1 ORDER BY night', ['ana'], '[{"member":"ana","night":"2026-01-02","score":9},{"member":"ana","night":"2026-01-04","score":7}]');
	doTest('SELECT night, score FROM nights WHERE member = $1', ['ben'], '[{"night":"it\'s, late","score":null}]');
	doTest('SELECT score FROM nights WHERE member = $1 AND night = $2', ['ana', '2026-01-04'], '[{"score":7}]');
	doTest('SELECT count(*) FROM nights', [], '[{"count":3}]');
	doTest('SELECT count(*) FROM nights WHERE score = $1', [null], '[{"count":0}]');
	doTest('UPDATE nights SET score = score + $1, night = $2 WHERE member = \'ana\' AND score = 9 RETURNING *', [2, 'x'], '[{"member":"ana","night":"x","score":11}]');
	doTest('DELETE FROM nights WHERE member = $1 RETURNING score', ['ana'], '[{"score":7},{"score":9}]');
	doTest('INSERT INTO rosters (studio, open) VALUES ($1, true) RETURNING open', ['north'], '[{"open":true}]');
	doTest('INSERT INTO nights (coach) VALUES ($1)', ['x'], 'column "coach" of relation "nights" does not exist');
	doTest('SELECT * FROM rosters', [], 'relation "rosters" does not exist');
	doTest('SELECT * FROM nights WHERE member = $2', ['x'], 'there is no parameter $2');
	doTest('SELECT coach FROM nights', [], 'column "coach" of relation "nights" does not exist');
	doTest('INSERT INTO nights (member, score) VALUES ($1)', ['x'], 'INSERT has not as many values as columns');
	doTest('DROP TABLE nights', [], 'syntax error: the stand-in server does not understand the statement');
	doTest('SELECT * FROM nights WHERE member < $1', ['x'], 'syntax error at "member < $1"');

	it('reverts applied changes, including those of indexes', () => {
		const state = createDatabaseState();
		for (const line of SETUP) {
			run(state, line, []);
		}

		const all = 'SELECT * FROM nights WHERE member = $1 ORDER BY night';
		const before = run(state, all, ['ana']);
		const effects = ['UPDATE nights SET member = $1', 'DELETE FROM nights WHERE member = $1'].map(text => {
			const {changes} = executeStatement(parseStatement(text), ['cleo'], state);
			state.apply({changes});
			return {changes};
		});
		expect(run(state, all, ['ana'])).to.equal('[]');
		for (const effect of effects.toReversed()) {
			state.revert(effect);
		}

		expect(run(state, all, ['ana'])).to.equal(before);
		expect(run(state, all, ['cleo'])).to.equal('[]');
	});
});
