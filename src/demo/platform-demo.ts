import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {startLocalPlatform, type LocalPlatform, type LocalProxy} from '../stand-ins/plain-platform/local-platform.js';
import {getFirstRow, getOutcome, openWireCaller} from '../stand-ins/plain-platform/wire-caller.js';
import {createDemoOutput, type DemoOutput} from './demo-output.js';

/**
 * The program of `npm run demo:platform`: proxies as processes in front of a database group whose fences do not stop a superseded primary, with the whole
 * platform in this process. It ends with exit code 1 where a guarantee was broken.
 */

const PROXIES = 3;
const WRITERS = 6;
const MAX_GAP_MS = 9000;

/** The outcomes of writes, as they were reported to the writers. */
type WriteOutcomes = {
	readonly acknowledged: Map<string, number>;
	readonly refused: Set<string>;
	unknown: number;
};

const commits = new Map<string, number>();
const outcomes: WriteOutcomes = {acknowledged: new Map(), refused: new Set(), unknown: 0};
let faultCount = 0;

function reportCheck(output: DemoOutput, faults: readonly string[], line: string) {
	output.showVerdict(faults.length === 0, line);
	faultCount += faults.length;
	for (const fault of faults.slice(0, 3)) {
		output.printLine(fault);
	}
}

/** Writes to the writer's item repeatedly until aborted, in sessions at one proxy after another. */
async function write(proxies: readonly LocalProxy[], writer: number, signal: AbortSignal) {
	for (let session = writer; !signal.aborted; session++) {
		const caller = await openWireCaller(proxies[session % proxies.length]!.callerPort, 'roster');
		for (let i = 0; i < 50 && !signal.aborted && !caller.closed; i++) {
			const id = `w${writer}-${session}-${i}`;
			recordAnswer(id, await caller.ask(id, `WRITE item-${writer} ${id}`));
			await sleep(10);
		}

		caller.leave();
		await sleep(10);
	}
}

function recordAnswer(id: string, lines: readonly string[]) {
	const outcome = getOutcome(lines);
	if (outcome === 'done') {
		outcomes.acknowledged.set(id, performance.now());
	} else if (outcome === 'not-run') {
		outcomes.refused.add(id);
	} else {
		outcomes.unknown++;
	}
}

async function readOwnWrites(output: DemoOutput, proxies: readonly LocalProxy[]) {
	output.beginScenario('A caller reads its own writes, and data of a stated age', 'Replicas serve the reads, each behind what the caller has to see.');
	const faults: string[] = [];
	for (const proxy of proxies) {
		const caller = await openWireCaller(proxy.callerPort, 'roster');
		await caller.ask(`own-${proxy.name}`, `WRITE own-${proxy.name} 7`);
		const lines = await caller.ask(`read-${proxy.name}`, `READ own-${proxy.name}`);
		if (getFirstRow(lines) !== '7') {
			faults.push(`${proxy.name} answered ${lines.join(' | ')}`);
		}

		caller.leave();
	}

	reportCheck(output, faults, `each session found what it had just written: ${proxies.length} sessions`);
}

async function losePrimary(output: DemoOutput, platform: LocalPlatform, proxies: readonly LocalProxy[]) {
	output.beginScenario('The primary dies while callers write', 'Nobody but the proxies has it replaced; what it acknowledged alone must not be doubled or denied.');
	const old = platform.group.latestPrimary;
	const killedAt = performance.now();
	platform.group.crash(old);
	while (performance.now() < killedAt + MAX_GAP_MS && platform.group.latestPrimary.id === old.id) {
		await sleep(20);
	}

	await sleep(1500);
	const first = Math.min(...[...outcomes.acknowledged.values()].filter(at => at > killedAt + 100));
	const gap = Math.round(first - killedAt);
	reportCheck(output, gap < MAX_GAP_MS ? [] : [`the gap was ${gap} ms`], `writes land again after ${gap} ms, of which the promotion takes 1,000`);
	platform.group.restart(old);
	const replaced = proxies.flatMap(({lines}) => lines).findLast(line => line.includes('a group has a primary again'));
	output.printLine(`one proxy logged: ${replaced?.slice(0, 120) ?? 'nothing'}…`);
}

async function stopAndKill(output: DemoOutput, proxies: readonly LocalProxy[]) {
	output.beginScenario('A proxy is stopped in order, another is killed', 'A planned stop ends sessions between statements; a kill leaves outcomes open, but nothing is doubled.');
	const code = await proxies[0]!.end('SIGTERM');
	reportCheck(output, code === 0 ? [] : [`it ended with ${code}`], 'the stopped proxy ended by itself');
	await proxies[1]!.end('SIGKILL');
	await sleep(1000);
}

function verifyWrites(output: DemoOutput) {
	output.beginScenario('Every answer is compared with the logs of the group', 'A refusal that promises that nothing is kept must be true.');
	const faults = [
		...[...outcomes.acknowledged.keys()].filter(id => commits.get(id) !== 1).map(id => `${id} was acknowledged and took effect ${commits.get(id) ?? 0} times`),
		...[...outcomes.refused].filter(id => commits.has(id)).map(id => `${id} was refused and took effect`),
	];
	reportCheck(output, faults, `${outcomes.acknowledged.size} acknowledged writes took effect once, ${outcomes.refused.size} refused ones never; ${outcomes.unknown} were left open`);
}

async function runPlatformDemo(): Promise<number> {
	const output = createDemoOutput({
		print(line) {
			console.log(line);
		},
	});
	const platform = await startLocalPlatform({
		onRead() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		onCommit(_commit, _server, id) {
			commits.set(id, (commits.get(id) ?? 0) + 1);
		},
	});
	const ended = new AbortController();
	try {
		const proxies: LocalProxy[] = [];
		for (let i = 1; i <= PROXIES; i++) {
			proxies.push(await platform.startProxy(`entry-${i}`));
		}

		await sleep(1500);
		await readOwnWrites(output, proxies);
		const writers = Array.from({length: WRITERS}, async (_, i) => write(proxies, i, ended.signal));
		await sleep(1000);
		await losePrimary(output, platform, proxies);
		await stopAndKill(output, proxies);
		ended.abort();
		await Promise.all(writers);
		verifyWrites(output);
	} finally {
		ended.abort();
		await platform.stop();
	}

	console.log(faultCount === 0 ? '\n   Every promise was kept.' : `\n   ${faultCount} faults.`);
	return faultCount === 0 ? 0 : 1;
}

process.exitCode = await runPlatformDemo();
