import process from 'node:process';
import {expect} from 'chai';
import * as fc from 'fast-check';
import {createSessionLink} from '../../src/links/link-session.js';
import {MAX_PREPARED} from '../../src/links/prepared-names.js';
import {formatRequest} from '../../src/platform/endpoint-lines.js';
import {parseCallerLine} from '../../src/platform/caller-lines.js';
import {MAX_LINE_BYTES} from '../../src/platform/line-reader.js';
import {getShapeKey} from '../../src/statements/shape-key.js';
import {Access, type PreparedShape} from '../../src/statements/statement.js';
import {createLineEndpoint} from './line-endpoint.js';

const NO_VALUES = new Map<string, string>();

/** Creates a session on a connection whose endpoint reads lines. */
function createLineSession() {
	const endpoint = createLineEndpoint();
	const sessionLink = createSessionLink(endpoint.link, {address: '10.1.0.9:8080'});
	return {
		endpoint,
		sessionLink,
		execute: async (prepared: PreparedShape, args?: string) => sessionLink.exchange({id: 'c1', command: {kind: 'execute', args}}, {values: NO_VALUES, prepared}),
	};
}

const writeShape = (shape: string): PreparedShape => ({access: Access.Write, shape});

/** Words of the protocol, names that a connection gives, blanks, and any bytes. */
const wordOrByte = fc.oneof(
	fc.constantFrom('WRITE', 'READ', 'qf', 'q1d', 'a', 'b', 'w_qf', 'r_q1', ' ', '  ', '\t', '\n', '\r', '-', '\0', '\u00FF'),
	fc.integer({min: 0, max: 255}).map(byte => String.fromCodePoint(byte)),
);
const text = fc.array(wordOrByte, {minLength: 1, maxLength: 8}).map(parts => parts.join('')).filter(joined => !joined.includes('\r\n'));

describe('prepared statements on a connection', () => {
	/** Two callers share a connection: the name made of one's shape was cut at a blank and became the name of the other's. */
	it('run the shape and arguments of their own caller, whatever bytes these hold', async () => {
		await fc.assert(fc.asyncProperty(
			fc.array(fc.record({
				access: fc.constantFrom(Access.Read, Access.Write), shape: text, args: fc.option(fc.oneof(text, fc.constant('')), {nil: undefined}),
			}), {minLength: 1, maxLength: 12}),
			async statements => {
				const {endpoint, execute} = createLineSession();
				for (const {args, ...prepared} of statements) {
					await execute(prepared, args);
				}

				expect(endpoint.executed).to.deep.equal(statements.map(({access, shape, args}) => ({
					id: 'c1', access: access === Access.Read ? 'READ' : 'WRITE', shape, args,
				})));
			},
		), {seed: 66, numRuns: Number(process.env.PROPERTY_RUNS ?? 300)});
	});

	/** Names that only grow would fill the memory of the endpoint and of this host with shapes that nobody uses any more. */
	it('are bounded, with those used least recently closed at the endpoint', async () => {
		const {endpoint, execute} = createLineSession();
		for (let i = 0; i < 3 * MAX_PREPARED; i++) {
			await execute(writeShape(`q${i}`), '1a4');
			await execute(writeShape('often used'), '1a4');
		}

		expect(endpoint.executed.map(({shape}) => shape)).to.deep.equal(Array.from({length: 3 * MAX_PREPARED}, (_, i) => [`q${i}`, 'often used']).flat());
		expect(endpoint.names.size).to.equal(MAX_PREPARED);
		expect(endpoint.lines.filter(line => line.includes('often used'))).to.have.length(1);
	});

	/** A statement that the endpoint did not close would still run under a name that was given to another shape; an answer behind it is good. */
	it('keep their names where the endpoint refuses to close them, until their connection ends after the answer', async () => {
		const {endpoint, execute} = createLineSession();
		endpoint.refuses = line => line.includes('CLOSE');
		for (let i = 0; i < MAX_PREPARED; i++) {
			await execute(writeShape(`q${i}`));
		}

		const answer = await execute(writeShape('one more'));
		expect([answer.end.kind, endpoint.executed.at(-1)?.shape, endpoint.link.closed]).to.deep.equal(['complete', 'one more', true]);
	});

	/** An endpoint that refused a reset still knew the old statements, and ran one of them under the name of a new one. */
	it('leave their names unused until the endpoint confirms a reset', async () => {
		const {endpoint, execute, sessionLink} = createLineSession();
		await sessionLink.exchange({id: 'c1', command: {kind: 'run', text: 'READ a'}}, {values: new Map([['v', '1']])});
		await sessionLink.exchange({id: 'c1', command: {kind: 'execute'}}, {values: new Map([['v', '1']]), prepared: writeShape('first')});
		endpoint.refuses = line => line.includes('RESET') || line.includes('PARSE');
		const outcome = await execute(writeShape('second')).catch((err: unknown) => (err as Error).name);
		expect([outcome, endpoint.executed.map(({shape}) => shape)]).to.deep.equal(['LinkLostError', ['first']]);
	});

	/** Requests that a host refuses by itself, as for a replica that lags, left the commands before them in flight, and the names ran out. */
	it('are free again where their requests are refused without being sent', async () => {
		const {endpoint, execute} = createLineSession();
		endpoint.answersLate = line => !line.includes('EXECUTE');
		for (let i = 0; i < 2 * MAX_PREPARED; i++) {
			await execute(writeShape(`q${i}`));
		}

		expect([endpoint.executed.length, endpoint.link.closed]).to.deep.equal([2 * MAX_PREPARED, false]);
	});

	/** Names that hold the shape made a request of nearly the maximum size too long for the endpoint. */
	it('take no more bytes than the caller sent', async () => {
		const {endpoint, execute} = createLineSession();
		const shape = 'q WRITE '.repeat(20);
		const start = 'QUERY c1 EXECUTE s ';
		await execute(writeShape(shape), 'x'.repeat(MAX_LINE_BYTES - start.length));
		expect(Math.max(...endpoint.lines.map(line => line.length))).to.equal(MAX_LINE_BYTES);
	});

	it('keep a blank before empty arguments', () => {
		for (const line of ['QUERY c1 EXECUTE s', 'QUERY c1 EXECUTE s ', 'QUERY c1 EXECUTE s  ']) {
			const message = parseCallerLine(line);
			const command = message.kind === 'statement' && message.statement.kind === 'execute' ? message.statement : undefined;
			expect(formatRequest({id: 'c1', command: command!})).to.equal(`${line}\r\n`);
		}
	});
});

describe('the key of a prepared shape', () => {
	/** Two shapes under one key would run in each other's place. */
	it('differs where the shapes differ, and has a bounded length', () => {
		const long = 'q'.repeat(1000);
		const shapes = ['q', ' q', 'q ', 'w_q', '\u00E9', '\u00C3\u00A9', long, `${long} `, `${long}\u00E9`, `${long}\u00C3\u00A9`];
		const keys = shapes.flatMap(shape => [getShapeKey({access: Access.Read, shape}), getShapeKey({access: Access.Write, shape})]);
		expect(new Set(keys).size).to.equal(2 * shapes.length);
		expect(Math.max(...keys.map(key => key.length))).to.be.at.most(66);
	});
});
