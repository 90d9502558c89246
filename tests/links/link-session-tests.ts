import {expect} from 'chai';
import type {EndpointLink, EndpointRequest} from '../../src/links/endpoint-link.js';
import {createSessionLink} from '../../src/links/link-session.js';
import {AnswerCode, type EndpointAnswer} from '../../src/statements/statement-answer.js';
import {formatRequest} from '../../src/platform/endpoint-lines.js';

/** Creates a connection that records the requests sent on it and answers `refused` with an error. */
function createRecordingLink(refused?: string) {
	const sent: string[] = [];
	const link = {
		isCut: false,
		async exchange(req: EndpointRequest): Promise<EndpointAnswer> {
			const text = formatRequest(req).trim().replace('QUERY - ', '');
			sent.push(text);
			return {rows: [], state: 'idle', end: text === refused ? {kind: 'error', code: AnswerCode.Failed, text: ''} : {kind: 'complete'}};
		},
		cut() {
			this.isCut = true;
		},
	};
	const refusals: string[] = [];
	const sessionLink = createSessionLink(link as unknown as EndpointLink, {
		address: '10.1.0.9:8080',
		onRefused(kind, code) {
			refusals.push(`${kind} ${code}`);
		},
	});
	return {
		sent, link, sessionLink, refusals,
	};
}

const STATEMENT = {id: 'c1', command: {kind: 'run', text: 'READ a'}} as const;
const EXECUTE = {id: 'c1', command: {kind: 'execute', args: '7'}} as const;

const values = (entries: Record<string, string>) => new Map(Object.entries(entries));

describe('adapting a connection to a session', () => {
	function doTest(name: string, sessions: ReadonlyArray<Record<string, string>>, expected: readonly string[]) {
		it(name, async () => {
			const {sent, sessionLink} = createRecordingLink();
			for (const session of sessions) {
				await sessionLink.exchange(STATEMENT, {values: values(session)});
			}

			expect(sent.filter(text => text !== 'QUERY c1 READ a')).to.deep.equal(expected);
		});
	}

	doTest('sends nothing for a session without values', [{}, {}], []);
	doTest('sets missing values', [{a: '1'}, {a: '1', b: '2'}], ['SET a 1', 'SET b 2']);
	doTest('sets values that differ', [{a: '1'}, {a: '2'}], ['SET a 1', 'SET a 2']);
	doTest('clears values that another session set', [{a: '1', b: '2'}, {b: '2'}], ['SET a 1', 'SET b 2', 'RESET', 'SET b 2']);

	it('prepares a shape once, and again after a reset', async () => {
		const {sent, sessionLink} = createRecordingLink();
		const prepared = {access: 'read', shape: 'q1'} as const;
		await sessionLink.exchange(EXECUTE, {values: values({a: '1'}), prepared});
		await sessionLink.exchange(EXECUTE, {values: values({a: '1'}), prepared});
		await sessionLink.exchange(EXECUTE, {values: values({}), prepared});
		expect(sent).to.deep.equal([
			'SET a 1',
			'PARSE a READ q1',
			'QUERY c1 EXECUTE a 7',
			'QUERY c1 EXECUTE a 7',
			'RESET',
			'PARSE b READ q1',
			'QUERY c1 EXECUTE b 7',
		]);
	});

	/** The endpoint refuses a value. The statement that follows runs without it, and its caller would take the rows for correct. */
	it('cuts a connection whose endpoint refuses a value, and returns no answer of it', async () => {
		const {link, sessionLink, refusals} = createRecordingLink('SET a 1');
		const outcome = await sessionLink.exchange(STATEMENT, {values: values({a: '1'})}).catch((err: unknown) => (err as Error).name);
		expect([outcome, link.isCut, refusals]).to.deep.equal(['LinkLostError', true, ['set failed']]);
	});
});
