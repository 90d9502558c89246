import process from 'node:process';
import {parseStatement} from '../../src/platform/caller-lines.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {ReadPolicy, type Route} from '../../src/routes/routing.js';
import {createScriptedCaller, type ScriptedCaller} from '../../src/stand-ins/proxies/scripted-caller.js';
import {createSimulatedProxies} from '../../src/stand-ins/proxies/simulated-proxies.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

/** Simulates some seconds of a large fleet with few connections and prints the results of its callers. The arguments are a seed and the number of callers that idle in transactions. */

const PROXIES = 30;
const GROUPS = ['nights', 'days'];

/** Connections of each endpoint, for all proxies together. */
const CONNECTIONS = 14;
const SLOTS = 3;
const SERVICE_MS = 14;

/** Operations per second of each proxy. */
const RATE_PER_S = 8;
const PLAY_MS = 10_000;

/** When callers begin to idle in transactions, and for how long each does, in milliseconds. */
const IDLE_FROM_MS = 3000;
const IDLE_MS = 3000;

/** The load by read policy: reads of the primary, bounded reads and reads of a session's own writes, with shares of writes. An eighth of all operations are transactions. */
const POLICIES = [
	{
		policy: ReadPolicy.Primary, maxReadAgeMs: 0, share: 0.15, writes: 0.35, targetLatencyMs: 120,
	},
	{
		policy: ReadPolicy.Bounded, maxReadAgeMs: 1500, share: 0.15, writes: 0, targetLatencyMs: 400,
	},
	{
		policy: ReadPolicy.OwnWrites, maxReadAgeMs: 2500, share: 0.7, writes: 0.12, targetLatencyMs: 200,
	},
];
const TRANSACTION_SHARE = 0.125;
const TRANSACTION_STATEMENTS = 4;
const PAUSE_MS = 40;
const TIMEOUT_MS = 800;

const [seed = 1, idleCallers = 0] = process.argv.slice(2).map(Number);
const clock = createVirtualClock();
const random = createSeededRandom(seed);
const routes = GROUPS.flatMap(group => POLICIES.map(({policy, maxReadAgeMs, targetLatencyMs}): Route => ({
	name: `${group}-${policy}`, database: `${group}-${policy}`, group, policy, maxReadAgeMs, statementTimeoutMs: TIMEOUT_MS, targetLatencyMs, priority: 1,
})));
const system = createSimulatedProxies({
	clock,
	seed,
	groups: GROUPS.map(name => ({
		name, zones: ['zone-0', 'zone-1', 'zone-2'], maxConnections: CONNECTIONS, slots: SLOTS, serviceMs: SERVICE_MS, observer: {onRead() {}, onCommit() {}}, // eslint-disable-line @typescript-eslint/no-empty-function
	})),
	routes,
});
const totals = {
	asked: 0, inTarget: 0, late: 0, refused: 0, longestMs: 0,
};
let lastId = 0;

const ask = async (caller: ScriptedCaller, text: string) => caller.ask(`s${++lastId}`, parseStatement(text));

async function open(proxyIndex: number, database: string): Promise<ScriptedCaller> {
	const caller = createScriptedCaller();
	void system.proxies[proxyIndex]!.kernel.getOrThrow('gateway').serve(caller.channel);
	await caller.open(database);
	return caller;
}

/** Returns the time that an operation took without its pauses, in milliseconds. Resolves to undefined if it was refused. */
async function operate(caller: ScriptedCaller, writes: number): Promise<number | undefined> {
	const isTransaction = random.fraction() < TRANSACTION_SHARE;
	const isWrite = random.fraction() < writes;
	const statements = Array.from({length: isTransaction ? TRANSACTION_STATEMENTS : 1}, (_, i) => i === 0 && isWrite ? `WRITE item-${lastId % 50} x` : `READ item-${lastId % 50}`);
	let tookMs = 0;
	for (const text of isTransaction ? [isWrite ? 'BEGIN' : 'BEGIN READ', ...statements, 'COMMIT'] : statements) {
		const askedAt = clock.now();
		const answer = await ask(caller, text);
		tookMs += clock.now() - askedAt;
		if (answer?.end.kind !== 'complete') {
			return undefined;
		}

		if (isTransaction) {
			await clock.sleep(PAUSE_MS);
		}
	}

	return tookMs;
}

async function runOperation(proxyIndex: number) {
	const group = GROUPS[Math.floor(random.fraction() * GROUPS.length)]!;
	let left = random.fraction();
	const kind = POLICIES.find(({share}) => {
		left -= share;
		return left < 0;
	}) ?? POLICIES.at(-1)!;
	const caller = await open(proxyIndex, `${group}-${kind.policy}`);
	totals.asked++;
	const tookMs = await operate(caller, kind.writes);
	caller.leave();
	totals.longestMs = Math.max(totals.longestMs, Math.round(tookMs ?? 0));
	if (tookMs === undefined) {
		totals.refused++;
	} else if (tookMs <= kind.targetLatencyMs) {
		totals.inTarget++;
	} else {
		totals.late++;
	}
}

async function runLoad(proxyIndex: number, until: number) {
	for (;;) {
		await clock.sleep(-Math.log(1 - random.fraction()) * 1000 / RATE_PER_S);
		if (clock.now() >= until) {
			return;
		}

		void runOperation(proxyIndex);
	}
}

/** Begins a transaction, writes, and leaves it open for a while. */
async function idleInTransaction(index: number) {
	const caller = await open(index % PROXIES, `${GROUPS[index % GROUPS.length]!}-${ReadPolicy.Primary}`);
	await ask(caller, 'BEGIN');
	await ask(caller, `WRITE rest-${index} x`);
	await clock.sleep(IDLE_MS);
	caller.leave();
}

for (let i = 0; i < PROXIES; i++) {
	await clock.runUntil(system.startProxy(`entry-${i}`));
}

await clock.advance(4000);
const until = clock.now() + PLAY_MS;
for (let i = 0; i < PROXIES; i++) {
	void runLoad(i, until); // eslint-disable-line unicorn/prefer-top-level-await
}

await clock.advance(IDLE_FROM_MS);
for (let i = 0; i < idleCallers; i++) {
	void idleInTransaction(i); // eslint-disable-line unicorn/prefer-top-level-await
}

await clock.advance(PLAY_MS - IDLE_FROM_MS + 2000);
console.log(JSON.stringify({...totals, credit: Number(((totals.inTarget + (0.3 * totals.late)) / totals.asked).toFixed(4))}));
process.exit(0); // eslint-disable-line unicorn/no-process-exit
