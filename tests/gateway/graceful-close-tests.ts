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
 * A host ends a session while statements of its caller are in transit. The caller takes each error for the answer to its oldest unanswered statement, and
 * the state after it for the end of that answer. One message too many or too few would make it take the refusal of one statement for the outcome of another.
 */
describe('the graceful close of a session', () => {
	type Case = {
		readonly inTransaction: boolean;
		/** Statements in transit when the session ends, in order, with the state that ends each refusal. */
		readonly inTransit: ReadonlyArray<readonly [kind: Statement['kind'], state: SessionState]>;
	};

	function doTest(name: string, {inTransaction, inTransit}: Case) {
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
			for (const [kind] of inTransit) {
				expect(closing.refuse(STATEMENTS[kind])).to.equal(reason);
			}

			expect(sent).to.deep.equal([error, ...inTransit.flatMap(([, state]) => [state, error])]);
		});
	}

	doTest('notifies at once a caller that sends nothing', {inTransaction: false, inTransit: []});
	doTest('notifies at once a caller whose transaction was rolled back', {inTransaction: true, inTransit: []});

	for (const kind of Object.keys(STATEMENTS) as Array<Statement['kind']>) {
		const isEnd = kind === 'commit' || kind === 'rollback';
		doTest(`leaves the session idle after ${kind}`, {inTransaction: false, inTransit: [[kind, Idle]]});
		doTest(`${isEnd ? 'ends' : 'leaves'} a transaction that was rolled back ${isEnd ? 'with' : 'failed after'} ${kind}`, {
			inTransaction: true, inTransit: [[kind, isEnd ? Idle : Failed]],
		});
	}

	doTest('refuses each statement of a transaction that is entirely in transit', {
		inTransaction: false, inTransit: [['begin', Idle], ['run', Idle], ['commit', Idle]],
	});
	doTest('keeps a transaction failed until its caller ends it', {
		inTransaction: true, inTransit: [['run', Failed], ['set', Failed], ['execute', Failed], ['commit', Idle]],
	});
	doTest('begins no new transaction after the end of one that was rolled back', {
		inTransaction: true, inTransit: [['rollback', Idle], ['begin', Idle], ['run', Idle], ['commit', Idle]],
	});
	doTest('does not treat a second begin as the end of the transaction', {inTransaction: true, inTransit: [['begin', Failed], ['run', Failed], ['rollback', Idle], ['set', Idle]]});
});
