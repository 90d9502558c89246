import {expect} from 'chai';
import {
	createStatementTrace, describeTrace, noteQueueRefusal, noteUnserved, type StatementTrace,
} from '../../src/gateway/statement-trace.js';
import {createFleetReporter} from '../../src/reports/fleet-report.js';
import {formatReport} from '../../src/reports/format-report.js';

/** Returns a log line as the gateway writes it for a statement with this trace. */
function line(sentence: string, database: string, trace: StatementTrace, fields: Record<string, unknown> = {}) {
	return JSON.stringify({
		hostname: 'entry-1', time: '2026-01-19T08:00:00.000Z', msg: `callers: ${sentence}`, id: 's1', database, tookMs: 900, ...describeTrace(trace), ...fields,
	});
}

const refusedLine = (workspace: string, waitedMs: number, queued: number) => {
	const trace = createStatementTrace(workspace);
	noteUnserved(trace, 'i-1', waitedMs);
	noteQueueRefusal(trace, 'i-2', {
		reason: 'the queue is too long', retryAfterMs: 200.4, predictedWaitMs: 950.2, queued, limit: 2,
	});
	return line('a statement was refused', 'booking', trace, {code: 'overloaded', text: 'retry-after-ms=201 the queue is too long'});
};

const lateLine = (workspace: string, linkWaitMs: number) => line('a statement was answered late', 'search', {...createStatementTrace(workspace), endpoints: ['i-1', 'i-3'], linkWaitMs});

function report(lines: readonly string[]) {
	const reporter = createFleetReporter();
	for (const each of lines) {
		reporter.addLine(each);
	}

	return reporter.getReport();
}

describe('report of who waited for connections', () => {
	/** A statement that was refused by a queue has been sent to no endpoint, so that its line did not tell which endpoint was the cause. */
	it('names the endpoint that was the cause, and the workspaces and databases that it affected', () => {
		const lines = [refusedLine('north', 120, 7), refusedLine('north', 80, 31), refusedLine('south', 100, 9), lateLine('south', 640)];
		const text = formatReport(report(lines)).split('\n');
		expect(text.slice(text.indexOf('answered late: 1') + 1, text.indexOf('stops begun: 0, ended: 0'))).to.deep.equal([
			'waited for connections, by database:',
			'        3  booking: p50 100 ms, p99 120 ms',
			'        1  search: p50 643 ms, p99 643 ms',
			'waited for connections, by workspace:',
			'        2  north: p50 80 ms, p99 120 ms',
			'        2  south: p50 100 ms, p99 643 ms',
			'waited for connections, by endpoint:',
			'        3  i-1: p50 100 ms, p99 120 ms',
			'        1  i-3: p50 643 ms, p99 643 ms',
			'refused or late because of an endpoint:',
			'  i-2: 3 refused, 0 late, 300 ms waited; queue at most 31 at limit 2, predicted wait at most 950 ms; reasons: the queue is too long 3; workspaces: north 2, south 1; databases: booking 3',
			'  i-3: 0 refused, 1 late, 640 ms waited; workspaces: south 1; databases: search 1',
		]);
	});

	it('attributes a refusal without a queue\'s reason to the endpoint that gave no connection for the longest time', () => {
		const trace = createStatementTrace();
		noteUnserved(trace, 'i-1', 30);
		noteUnserved(trace, 'i-2', 100);
		noteUnserved(trace, 'i-1', 40);
		const {waits} = report([line('a statement was refused', 'booking', trace, {code: 'overloaded'})]);
		expect(waits.causes.map(({endpoint, reasons}) => [endpoint, reasons])).to.deep.equal([['i-2', {overloaded: 1}]]);
	});

	/** The logs of a fleet over a week name any number of endpoints: each replacement has a new id. */
	it('keeps at most 1000 names in a list', () => {
		const {waits} = report(Array.from({length: 1500}, (_, i) => lateLine(`w${i}`, 20)));
		expect([waits.workspaces.length, waits.leftOut, waits.causes[0]?.late, Object.keys(waits.causes[0]!.workspaces).length]).to.deep.equal([1000, 500, 1500, 101]);
	});

	/** Lines of earlier versions, and lines of other programs behind the same sentence, lack fields or have others in their place. */
	it('ignores fields of another type', () => {
		const lines = [{}, {linkWaitMs: 'long'}, {
			linkWaitMs: 5, endpoints: 'i-1', unservedMs: 7, workspace: 3,
		}, {linkWaitMs: -4, endpoints: [null], unservedMs: {a: 'b', c: -1}}];
		const {waits, unreadLines} = report(lines.map(fields => JSON.stringify({
			hostname: 'entry-1', time: '2026-01-19T08:00:00.000Z', msg: 'callers: a statement was refused', ...fields,
		})));
		expect([waits.causes, waits.endpoints, waits.workspaces, unreadLines]).to.deep.equal([[], [], [], 0]);
	});
});
