import {expect} from 'chai';
import {parseEndpointLine} from '../../src/stand-ins/plain-group/parse-endpoint-line.js';
import type {RanStatement} from '../../src/stand-ins/plain-group/ran-statement.js';
import {AnswerCode} from '../../src/statements/statement-answer.js';
import {Access, type PreparedShape} from '../../src/statements/statement.js';
import {checkStatements, StatementRule, type SessionRecord} from './check-statements.js';

type RunDetails = Partial<Pick<RanStatement, 'connection' | 'transaction' | 'committed' | 'rows' | 'end'>> & {readonly values?: Readonly<Record<string, string>>; readonly shape?: PreparedShape};

/** Creates the observation of a line that an endpoint ran. */
function createRun(line: string, {values = {}, ...details}: RunDetails = {}): RanStatement {
	const {id = '-', command} = parseEndpointLine(line)!;
	return {
		server: 'nights-1', connection: 1, id, line, command, values: new Map(Object.entries(values)), committed: [], rows: [], end: {kind: 'complete', signature: `sign-${id}`}, ...details,
	};
}

const QF: PreparedShape = {access: Access.Write, shape: 'qf'};

/** Two sessions and what endpoints ran for them, without a violation. */
function createCleanRun(): {sessions: SessionRecord[]; ran: RanStatement[]} {
	return {
		sessions: [{
			name: 'a',
			exchanges: [
				{id: 'a1', text: 'SET v 1', answer: ['COMPLETE -', 'READY I -']},
				{id: 'a2', text: 'PARSE s1 WRITE qf', answer: ['COMPLETE -', 'READY I -']},
				{id: 'a3', text: 'EXECUTE s1 i 7', answer: ['COMPLETE sign-a3', 'READY I 1.1']},
				{id: 'a4', text: 'READ i', answer: ['DATAROW 7', 'COMPLETE sign-a4', 'READY I 1.1']},
			],
		}, {
			name: 'b',
			exchanges: [
				{id: 'b1', text: 'BEGIN', answer: ['COMPLETE -', 'READY T -']},
				{id: 'b2', text: 'WRITE i 8', answer: ['COMPLETE sign-b2', 'READY T 1.1']},
				{id: 'b3', text: 'READ j', answer: ['DATAROW -', 'COMPLETE sign-b3', 'READY T 1.1']},
				{id: 'b4', text: 'COMMIT', answer: ['COMPLETE sign-b4', 'READY I 1.2']},
				{id: 'b5', text: 'WRITE i 9', answer: ['ERROR BUSY no', 'READY I 1.2']},
			],
		}],
		ran: [
			createRun('QUERY - SET v 1', {values: {v: '1'}}),
			createRun('QUERY - PARSE a WRITE qf', {values: {v: '1'}}),
			createRun('QUERY a3 EXECUTE a i 7', {values: {v: '1'}, shape: QF, committed: ['a3']}),
			createRun('QUERY a4 AFTER 1.1 READ i', {connection: 2, values: {v: '1'}, rows: ['7']}),
			createRun('QUERY - RESET'),
			createRun('QUERY - BEGIN', {transaction: 1}),
			createRun('QUERY b2 WRITE i 8', {transaction: 1}),
			createRun('QUERY b3 READ j', {transaction: 1, rows: ['-']}),
			createRun('QUERY b4 COMMIT', {transaction: 1, committed: ['b2']}),
			createRun('QUERY b5 WRITE i 9', {end: {kind: 'error', code: AnswerCode.Overloaded, text: ''}}),
		],
	};
}

/** Guards against a check that passes over a broken rule: each case changes one observation or answer of a run that keeps all rules. */
describe('the check of statements', () => {
	it('finds nothing in a run that keeps the rules', () => {
		const {sessions, ran} = createCleanRun();
		expect(checkStatements(sessions, ran)).to.deep.equal([]);
	});

	function doTest(name: string, rule: StatementRule, id: string, change: (ran: RanStatement[], sessions: SessionRecord[]) => void) {
		it(`finds ${rule}: ${name}`, () => {
			const {sessions, ran} = createCleanRun();
			change(ran, sessions);
			expect(checkStatements(sessions, ran).filter(violation => violation.rule === rule).map(violation => violation.id)).to.deep.equal([id]);
		});
	}

	const replace = (ran: RanStatement[], id: string, details: Partial<RanStatement>) => {
		const i = ran.findIndex(statement => statement.id === id);
		ran[i] = {...ran[i]!, ...details};
	};

	doTest('an id that no caller sent', StatementRule.Unasked, 'x', ran => ran.push(createRun('QUERY x READ i')));
	doTest('a text that its caller did not send', StatementRule.Unasked, 'a4', ran => {
		ran[3] = createRun('QUERY a4 READ i ', {values: {v: '1'}, rows: ['7']});
	});
	doTest('arguments that its caller did not send', StatementRule.Unasked, 'a3', ran => {
		ran[2] = createRun('QUERY a3 EXECUTE a WRITE ve i 7', {values: {v: '1'}, shape: QF, committed: ['a3']});
	});
	doTest('a read of a proxy', StatementRule.Unasked, '-', ran => ran.push(createRun('QUERY - READ i')));
	doTest('a commit of a proxy', StatementRule.Unasked, 'b2', ran => {
		ran[8] = createRun('QUERY - ROLLBACK', {transaction: 1, committed: ['b2']});
	});
	doTest('a write that its transaction did not hold', StatementRule.Unasked, 'a3', ran => {
		replace(ran, 'a3', {committed: []});
		replace(ran, 'b4', {committed: ['a3', 'b2']});
	});
	doTest('a single write in the transaction of another caller', StatementRule.Pinned, 'a4', ran => {
		replace(ran, 'a4', {transaction: 1});
	});
	doTest('a statement of a transaction outside it', StatementRule.Pinned, 'b3', ran => {
		replace(ran, 'b3', {transaction: undefined});
	});
	doTest('a statement of a transaction on another connection', StatementRule.Pinned, 'b3', ran => {
		replace(ran, 'b3', {connection: 2, transaction: 2});
	});
	doTest('a statement in a later transaction of its connection', StatementRule.Pinned, 'b3', ran => {
		replace(ran, 'b3', {transaction: 2});
	});
	doTest('session values of another caller', StatementRule.Pinned, 'a4', ran => {
		replace(ran, 'a4', {values: new Map([['v', '2']])});
	});
	doTest('a session value that was not set', StatementRule.Pinned, 'a4', ran => {
		replace(ran, 'a4', {values: new Map()});
	});
	doTest('a session value too many', StatementRule.Pinned, 'b4', ran => {
		replace(ran, 'b4', {values: new Map([['v', '1']])});
	});
	doTest('another shape', StatementRule.Pinned, 'a3', ran => {
		replace(ran, 'a3', {shape: {...QF, shape: 've WRITE qf'}});
	});
	doTest('another access', StatementRule.Pinned, 'a3', ran => {
		replace(ran, 'a3', {shape: {...QF, access: Access.Read}});
	});
	doTest('an unknown name at the endpoint', StatementRule.Pinned, 'a3', (ran, sessions) => {
		replace(ran, 'a3', {shape: undefined, committed: [], end: {kind: 'error', code: AnswerCode.UnknownStatement, text: ''}});
		sessions[0]!.exchanges[2]!.answer = ['ERROR BUSY no', 'READY I -'];
	});
	doTest('an unknown name in the answer', StatementRule.Pinned, 'a3', (ran, sessions) => {
		ran.splice(2, 1);
		sessions[0]!.exchanges[2]!.answer = ['ERROR NOSUCHSTMT no', 'READY I -'];
	});
	doTest('a success that no endpoint gave', StatementRule.Mixed, 'a4', ran => {
		ran.splice(3, 1);
	});
	doTest('other rows', StatementRule.Mixed, 'a4', ran => {
		replace(ran, 'a4', {rows: ['8']});
	});
	doTest('rows of another run than the signature', StatementRule.Mixed, 'a4', (_ran, sessions) => {
		sessions[0]!.exchanges[3]!.answer = ['DATAROW 7', 'COMPLETE sign-a3', 'READY I 1.1'];
	});
	doTest('a commit that the proxy answered', StatementRule.Mixed, 'b4', (_ran, sessions) => {
		sessions[1]!.exchanges[3]!.answer = ['COMPLETE -', 'READY I 1.1'];
	});
	doTest('a single write that ran again', StatementRule.Twice, 'a3', ran => {
		ran.push(ran[2]!);
	});
	doTest('a single write told as not run', StatementRule.Refused, 'b5', ran => {
		replace(ran, 'b5', {committed: ['b5'], end: {kind: 'complete', signature: 'sign-b5'}});
	});
	doTest('a commit told as not run', StatementRule.Refused, 'b4', (_ran, sessions) => {
		sessions[1]!.exchanges[3]!.answer = ['ERROR ABORTED no', 'READY I 1.1'];
	});
});
