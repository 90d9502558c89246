import {expect} from 'chai';
import {createFleetReporter} from '../../src/reports/fleet-report.js';
import {formatReport} from '../../src/reports/format-report.js';

const START = Date.parse('2026-01-19T08:00:00.000Z');

/** Returns a log line as a proxy writes it. */
const line = (host: string, ms: number, msg: string, fields: Record<string, unknown> = {}) => JSON.stringify({
	name: 'aldercroft-proxy', hostname: host, level: 30, ...fields, time: new Date(START + ms).toISOString(), msg,
});

const LINES_WITH_FAULTS: readonly string[] = [
	line('entry-1', 0, 'mirror: a configuration is in force', {version: 6}),
	`  0.0300 entry-2 ${line('entry-2', 30, 'mirror: a configuration is in force', {version: 6})}`,
	line('entry-1', 100, 'callers: a statement was refused', {
		id: 's1', code: 'overloaded', text: 'come back in 300 ms: no endpoint', database: 'sync',
	}),
	line('entry-2', 110, 'callers: a statement was refused', {
		id: 's2', code: 'overloaded', text: 'come back in 250 ms: no endpoint', database: 'review',
	}),
	line('entry-1', 120, 'callers: a read is tried again', {id: 's3', reason: 'lagging'}),
	line('entry-1', 130, 'callers: a statement was answered late', {id: 's3'}),
	line('entry-1', 140, 'callers: the outcome of a write is unknown: it was sent and no whole answer came', {id: 's4'}),
	line('entry-2', 200, 'replace: a primary is replaced', {group: 'nights', reason: 'the primary is silent'}),
	line('entry-2', 900, 'replace: a group has a primary again', {
		group: 'nights', primary: 'i-2', term: 3, markMs: 12, promoteMs: 600,
	}),
	line('entry-1', 1000, 'leaving', {signal: 'SIGTERM', open: 3}),
	line('entry-1', 2000, 'left'),
	line('entry-2', 2100, 'log: lines were dropped', {dropped: 7}),
	'not a line of a proxy',
	line('entry-2', 2200, 'serving').slice(0, 40),
	'',
];

function report(lines: readonly string[]) {
	const reporter = createFleetReporter();
	for (const each of lines) {
		reporter.addLine(each);
	}

	return reporter.getReport();
}

describe('report of a fleet\'s logs', () => {
	it('summarizes refusals, retries, unknown outcomes, changes of primary, configurations and stops', () => {
		expect(formatReport(report(LINES_WITH_FAULTS)).split('\n')).to.deep.equal([
			'14 lines of 2 hosts, 2026-01-19T08:00:00.000Z to 2026-01-19T08:00:02.100Z; 2 lines were not read, 7 were dropped by hosts',
			'refusals by code:',
			'        2  overloaded',
			'refusals by what was told:',
			'        2  come back in N ms: no endpoint',
			'refusals by database:',
			'        1  sync',
			'        1  review',
			'tried again:',
			'        1  read: lagging',
			'outcome unknown:',
			'        1  write, no whole answer came',
			'answered late: 1',
			'stops begun: 1, ended: 1',
			'changes of primary:',
			'  2026-01-19T08:00:00.900Z nights: i-2, by entry-2, since the primary is silent (ms: mark 12, promote 600)',
			'configurations:',
			'  version 6: 2 hosts within 30 ms',
		]);
	});

	it('reports when the store was restored, how many hosts logged it and how many records were rewritten', () => {
		const restored = (host: string, ms: number) => line(host, ms, 'mirror: the store has come back from a copy', {generation: 2, held: '1.29', revision: '2.24'});
		const rewritten = line('entry-1', 60, 'leads: a record of leadership was written again, since the store came back from a copy', {group: 'nights', generation: 2});
		const {storeReturns} = report([restored('entry-1', 0), rewritten, restored('entry-2', 40)]);
		expect(storeReturns.map(({generation, hosts, firstAt, lastAt, recordsWritten}) => [generation, hosts, lastAt - firstAt, recordsWritten])).to.deep.equal([[2, 2, 40, 1]]);
	});

	it('counts refusals by workspace and code, without those of callers that have no workspace', () => {
		const refused = (workspace: string | undefined, code: string) => line('entry-1', 0, 'callers: a statement was refused', {
			code, text: 'the workspace is over its rate limit', database: 'sync', workspace,
		});
		const {refusalsByWorkspace} = report([refused('north', 'rate-limited'), refused('north', 'rate-limited'), refused('south', 'overloaded'), refused(undefined, 'unauthenticated')]);
		expect(refusalsByWorkspace).to.deep.equal({'north: rate-limited': 2, 'south: overloaded': 1});
	});

	it('reports that there were no lines', () => {
		expect(formatReport(report([])).split('\n')[0]).to.equal('0 lines of 0 hosts; 0 lines were not read, 0 were dropped by hosts');
	});

	// A caller that requests a new database name each time must not fill the memory of the process that reads the logs.
	it('counts at most 1000 causes separately and the others as omitted', () => {
		const lines = Array.from({length: 1500}, (_, i) => line('entry-1', i, 'callers: a statement was refused', {code: 'unknown-database', text: 'no', database: `db-${i}`}));
		const {refusalsByDatabase, leftOut} = report(lines);
		expect([Object.keys(refusalsByDatabase).length, leftOut.causes]).to.deep.equal([1000, 500]);
	});

	/** Guards against databases whose names are numbers, which were listed first whatever their counts. */
	it('lists the most frequent cause first, also beside names that are numbers', () => {
		const refused = (database: string) => line('entry-1', 0, 'callers: a statement was refused', {code: 'overloaded', text: 'no', database});
		const lines = formatReport(report([refused('270'), refused('sync'), refused('sync'), refused('11')])).split('\n');
		const start = lines.indexOf('refusals by database:');
		expect(lines.slice(start + 1, start + 4)).to.deep.equal(['        2  sync', '        1  11', '        1  270']);
	});

	it('does not mistake the names of inherited object members for known sentences', () => {
		expect(report([line('entry-1', 0, 'toString'), line('entry-1', 0, 'constructor: toString')]).unreadLines).to.equal(0);
	});
});
