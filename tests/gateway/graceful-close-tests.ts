import {expect} from 'chai';
import type {CallerChannel} from '../../src/gateway/caller-channel.js';
import {createGracefulClose} from '../../src/gateway/graceful-close.js';
import {STOPPED_TRANSACTION, STOPPING} from '../../src/gateway/stop-answers.js';
import {Access, SessionState, type Statement} from '../../src/statements/statement.js';

/** One statement of each kind. */
const STATEMENTS: {readonly [K in Statement['kind']]: Extract<Statement, {readonly kind: K}>} = {
	begin: {kind: 'begin', readOnly: false},
	commit: {kind: 'commit'},
	rollback: {kind: 'rollback'},
	run: {kind: 'run', access: Access.Write, text: 'WRITE a 1'},
	execute: {kind: 'execute', name: 'p', args: '1'},
	set: {kind: 'set', name: 'studio', value: 'boston'},
	prepare: {kind: 'prepare', name: 'p', shape: {access: Access.Read, shape: 'READ a'}},
	forget: {kind: 'forget', name: 'p'},
	malformed: {kind: 'malformed'},
};

const {Idle, Failed} = SessionState;

/**
 * A host ends a session while statements of its caller are on their way. The caller takes each error for the answer to the oldest statement that it has sent,
 * and the state for the end of that answer: out of step by one, it would take the refusal of one statement for the outcome of another.
 */
describe('the graceful close of a session', () => {
	type Case = {
		readonly inTransaction: boolean;
		/** What crosses, in order, with the state that ends each refusal. */
		readonly crossing: ReadonlyArray<readonly [kind: Statement['kind'], state: SessionState]>;
	};

	function doTest(name: string, {inTransaction, crossing}: Case) {
		it(name, () => {
			const sent: string[] = [];
			const channel = {
				refuse(code: string, text: string) {
					sent.push(`${code}: ${text}`);
				},
				endRefusal(state: SessionState) {
					sent.push(state);
				},
			} as unknown as CallerChannel;
			const reason = inTransaction ? STOPPED_TRANSACTION : STOPPING;
			const error = `${reason.end.code}: ${reason.end.text}`;
			const closing = createGracefulClose(channel, reason, inTransaction);
			expect(sent).to.deep.equal([error]);
			for (const [kind] of crossing) {
				expect(closing.refuse(STATEMENTS[kind])).to.equal(reason);
			}

			expect(sent).to.deep.equal([error, ...crossing.flatMap(([, state]) => [state, error])]);
		});
	}

	doTest('tells a caller at once that sends nothing', {inTransaction: false, crossing: []});
	doTest('tells a caller at once whose transaction was rolled back', {inTransaction: true, crossing: []});

	for (const kind of Object.keys(STATEMENTS) as Array<Statement['kind']>) {
		const isEnd = kind === 'commit' || kind === 'rollback';
		doTest(`leaves the session idle behind ${kind}`, {inTransaction: false, crossing: [[kind, Idle]]});
		doTest(`${isEnd ? 'ends' : 'leaves'} a transaction that was rolled back ${isEnd ? 'with' : 'failed behind'} ${kind}`, {
			inTransaction: true, crossing: [[kind, isEnd ? Idle : Failed]],
		});
	}

	doTest('refuses each statement of a transaction that crosses whole', {
		inTransaction: false, crossing: [['begin', Idle], ['run', Idle], ['commit', Idle]],
	});
	doTest('keeps a transaction failed until its caller asks for the end', {
		inTransaction: true, crossing: [['run', Failed], ['set', Failed], ['execute', Failed], ['commit', Idle]],
	});
	doTest('begins no other transaction behind the end of one that was rolled back', {
		inTransaction: true, crossing: [['rollback', Idle], ['begin', Idle], ['run', Idle], ['commit', Idle]],
	});
	doTest('takes a second begin for no end', {inTransaction: true, crossing: [['begin', Failed], ['run', Failed], ['rollback', Idle], ['set', Idle]]});
});
