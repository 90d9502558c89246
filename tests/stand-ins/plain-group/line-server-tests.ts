import {once} from 'node:events';
import {connect, type AddressInfo, type Server} from 'node:net';
import {expect} from 'chai';
import {createLineReader, MAX_LINE_BYTES} from '../../../src/platform/line-reader.js';
import {startLineServer} from '../../../src/stand-ins/plain-group/line-server.js';
import {createPlainGroup} from '../../../src/stand-ins/plain-group/plain-group.js';
import type {RanStatement} from '../../../src/stand-ins/plain-group/ran-statement.js';
import {createSystemClock} from '../../../src/time/system-clock.js';
import {Access} from '../../../src/statements/statement.js';

describe('a server of a group on a socket', () => {
	const ran: RanStatement[] = [];
	const malformed: string[] = [];
	let listener: Server;

	before(async () => {
		const group = createPlainGroup({
			clock: createSystemClock(),
			name: 'nights',
			zones: ['zone-a'],
			observer: {
				onRead() {}, // eslint-disable-line @typescript-eslint/no-empty-function
				onCommit() {}, // eslint-disable-line @typescript-eslint/no-empty-function
				onStatement(statement) {
					ran.push(statement);
				},
			},
		});
		listener = await startLineServer(group, group.servers[0]!, {
			host: '127.0.0.1',
			port: 0,
			onMalformed(line) {
				malformed.push(line);
			},
		});
	});

	after(() => {
		listener.close();
	});

	/** Sends lines and returns the answers to them, up to the given number of ready lines or the end of the connection. */
	async function ask(lines: readonly string[], readyLines: number) {
		const socket = connect({host: '127.0.0.1', port: (listener.address() as AddressInfo).port});
		const reader = createLineReader();
		const answers: string[] = [];
		socket.setEncoding('latin1');
		socket.on('error', () => socket.destroy());
		socket.on('data', (chunk: string) => {
			answers.push(...reader.push(chunk)!);
			if (answers.filter(line => line.startsWith('READY ')).length >= readyLines) {
				socket.destroy();
			}
		});
		socket.write(`STARTUP nights test\r\n${lines.map(line => `${line}\r\n`).join('')}`, 'latin1');
		await once(socket, 'close');
		return answers;
	}

	/** Guards against a check of statements that does not see what ran: the shape, the arguments to the end of the line, the values and the transaction. */
	it('tells its observer what a prepared statement ran as', async () => {
		await ask([
			'QUERY - SET zone v 1',
			'QUERY - PARSE a WRITE qf WRITE  v\u00E9',
			'QUERY - BEGIN',
			'QUERY x1 EXECUTE a i  7 \u00FF',
			'QUERY x2 COMMIT',
			'QUERY - RESET',
			'QUERY x3 EXECUTE a i',
		], 8);
		const [set, prepare, begin, execute, commit, reset, unknown] = ran;
		expect([set, prepare, begin, execute, commit, reset, unknown].map(statement => statement!.command.kind)).to.deep.equal(['set', 'prepare', 'begin', 'execute', 'commit', 'reset', 'execute']);
		expect(execute!.line).to.equal('QUERY x1 EXECUTE a i  7 \u00FF');
		expect(execute!.shape).to.deep.equal({access: Access.Write, shape: 'qf WRITE  v\u00E9'});
		expect(execute!.values).to.deep.equal(new Map([['zone', 'v 1']]));
		expect([begin!.transaction, execute!.transaction, commit!.transaction, reset!.transaction]).to.deep.equal([1, 1, 1, undefined]);
		expect([execute!.committed, commit!.committed]).to.deep.equal([[], ['x1']]);
		expect(unknown!.end).to.include({kind: 'error', code: 'unknown-statement'});
		expect(unknown!.values.size).to.equal(0);
	});

	it('runs nothing that it does not understand, and tells its observer', async () => {
		const before = ran.length;
		expect(await ask(['QUERY x1 EXECUTE  a'], 2)).to.include('ERROR MALFORMED -');
		expect(malformed).to.deep.equal(['QUERY x1 EXECUTE  a']);
		expect(ran.length).to.equal(before);
	});

	it('closes a connection on a line above the size limit, and not on one of that size', async () => {
		const fill = (length: number) => 'QUERY x1 READ '.padEnd(length, 'i');
		expect(await ask([fill(MAX_LINE_BYTES)], 2)).to.include('COMPLETE sign-x1');
		const answers = await ask([fill(MAX_LINE_BYTES + 1)], 2);
		expect(answers.filter(line => line.startsWith('COMPLETE'))).to.deep.equal([]);
	});
});
