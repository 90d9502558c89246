import {expect} from 'chai';
import {createLineLog} from '../../src/log/line-log.js';
import type {LogFields} from '../../src/log/log.js';
import {createProxyBench} from './proxy-bench.js';

/** A log line: its sentence, with the host and part that wrote it, and its fields. */
type Line = {readonly sentence: string; readonly fields: LogFields};

const createCapturedLog = (lines: Line[]) => createLineLog((sentence, fields) => {
	lines.push({sentence, fields});
});

function describeLines(lines: readonly Line[], keep: (line: Line) => boolean, names: readonly string[]) {
	const describeFields = (fields: LogFields) => names.filter(name => fields[name] !== undefined).map(name => `${name}=${JSON.stringify(fields[name])}`);
	return lines.filter(line => keep(line)).map(({sentence, fields}) => [sentence, ...describeFields(fields)].join(' '));
}

/** The procedures of docs/OPERATIONS.md, which start from the id of a request and use log lines only. */
describe('finding the cause of a request\'s outcome from its id and the log', () => {
	/** A caller is refused while its group has no primary. The line with its id names the epoch and phase, and the group's lines give the reason. */
	it('explains a refusal', async () => {
		const lines: Line[] = [];
		const bench = await createProxyBench({log: createCapturedLog(lines)});
		const caller = await bench.open(bench.proxies[0]!, 'sync');
		bench.group.crash(bench.getPrimary());
		for (const server of bench.group.servers) {
			bench.group.crash(server);
		}

		expect(await bench.ask(caller, 'WRITE a 1', 'r-1')).to.equal('overloaded idle');
		expect(describeLines(lines, ({fields}) => fields.id === 'r-1', ['code', 'text', 'group', 'tookMs', 'endpoints', 'epoch', 'phase'])).to.deep.equal([
			'entry-1 callers: a statement was refused code="overloaded" text="retry-after-ms=400 no primary could be used; the write was not run"'
			+ ' group="nights" tookMs=1000 endpoints=[] epoch=2 phase="changing"',
		]);
		const causes = describeLines(lines, ({sentence, fields}) => fields.group === 'nights' && sentence.startsWith('entry-1 '), ['reason', 'suspicion', 'endpoint', 'epoch']);
		expect(causes).to.include('entry-1 leads: a primary seems lost suspicion="refused" endpoint="nights-1" epoch=1');
	});

	/** A write was sent and its answer was lost. The line with its id names the endpoint and the epoch. */
	it('explains an unknown outcome', async () => {
		const lines: Line[] = [];
		const bench = await createProxyBench({log: createCapturedLog(lines)});
		const caller = await bench.open(bench.proxies[0]!, 'sync');
		await bench.ask(caller, 'WRITE a 1');
		bench.getPrimary().answersToLose = 1;
		expect(await bench.ask(caller, 'WRITE a 2', 'r-2')).to.equal('outcome-unknown idle');
		expect(describeLines(lines, ({fields}) => fields.id === 'r-2', ['code', 'endpoint', 'endpoints', 'epoch', 'usedEpoch', 'phase'])).to.deep.equal([
			'entry-1 callers: the outcome of a write is unknown: it was sent and no whole answer came endpoint="nights-1" epoch=1',
			'entry-1 callers: a statement was refused code="outcome-unknown" endpoints=["nights-1"] epoch=1 usedEpoch=1 phase="steady"',
		]);
	});

	/** A write waits for a promotion and is served after it. The line with its id names the endpoint and the epoch. */
	it('explains a late answer', async () => {
		const lines: Line[] = [];
		const bench = await createProxyBench({log: createCapturedLog(lines), promoteMs: 500});
		const caller = await bench.open(bench.proxies[0]!, 'sync');
		bench.group.crash(bench.getPrimary());
		expect(await bench.ask(caller, 'WRITE a 1', 'r-3')).to.equal('done idle');
		expect(describeLines(lines, ({fields}) => fields.id === 'r-3', ['kind', 'endpoints', 'usedEpoch', 'epoch', 'phase'])).to.deep.equal([
			'entry-1 callers: a statement was answered late kind="run" endpoints=["nights-2"] usedEpoch=2 epoch=2 phase="steady"',
		]);
		const again = lines.find(({sentence}) => sentence.endsWith('a group has a primary again'));
		expect(again?.fields).to.include({group: 'nights', primary: 'nights-2', epoch: 2});
	});
});
