import {expect} from 'chai';
import type {EndpointRequest} from '../../src/links/endpoint-link.js';
import {formatRequest, formatStartup, parseStatusRow} from '../../src/platform/endpoint-lines.js';

describe('endpoint lines', () => {
	function doTest(expected: string, req: EndpointRequest) {
		it(`formats ${expected}`, () => {
			expect(formatRequest(req)).to.equal(`${expected}\r\n`);
		});
	}

	doTest('QUERY c1 READ 1a4', {id: 'c1', command: {kind: 'run', text: 'READ 1a4'}});
	doTest('QUERY c1 AFTER 3.1207 READ 1a4', {id: 'c1', command: {kind: 'run', text: 'READ 1a4'}, floor: {term: 3, position: 1207}});
	doTest('QUERY c1 AFTER 3.1207 BEGIN READ', {id: 'c1', command: {kind: 'begin', readOnly: true}, floor: {term: 3, position: 1207}});
	doTest('QUERY c1 EXECUTE w_q2c 1a4 data', {id: 'c1', command: {kind: 'execute', name: 'w_q2c', args: '1a4 data'}});
	doTest('QUERY c1 EXECUTE w_q2c', {id: 'c1', command: {kind: 'execute', name: 'w_q2c'}});
	doTest('QUERY c1 EXECUTE w_q2c ', {id: 'c1', command: {kind: 'execute', name: 'w_q2c', args: ''}});
	doTest('QUERY - CLOSE a', {command: {kind: 'close', name: 'a'}});
	doTest('QUERY - PARSE r_q READ q', {command: {kind: 'prepare', name: 'r_q', shape: {access: 'read', shape: 'q'}}});
	doTest('QUERY - SET a b c', {command: {kind: 'set', name: 'a', value: 'b c'}});
	doTest('QUERY - STATUS', {command: {kind: 'status'}});
	doTest('QUERY - PAUSE 4', {command: {kind: 'fence', term: 4}});
	doTest('QUERY - RESUME', {command: {kind: 'unfence'}});
	doTest('QUERY - STEPDOWN 4', {command: {kind: 'step-down', term: 4}});
	doTest('QUERY - RESET', {command: {kind: 'reset'}});
	doTest('QUERY c1 COMMIT', {id: 'c1', command: {kind: 'commit'}});
	doTest('QUERY - ROLLBACK', {command: {kind: 'rollback'}});

	it('formats the first message of a session', () => {
		expect(formatStartup('nights', 'entry-1', 'i-7')).to.equal('STARTUP nights entry-1 i-7\r\n');
	});

	it('parses the row of a status', () => {
		expect(parseStatusRow('replica 3 3.1209 4 12 2 17')).to.deep.equal({
			role: 'replica', term: 3, received: {term: 3, position: 1209}, fencedTerm: 4, lagMs: 12, busy: 2, connections: 17,
		});
	});

	for (const row of ['', 'leader 3 3.1 0 0 0 0', 'primary 3 - 0 0 0 0']) {
		it(`returns undefined for the row ${JSON.stringify(row)}`, () => {
			expect(parseStatusRow(row)).to.equal(undefined);
		});
	}
});
