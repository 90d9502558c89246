import process from 'node:process';
import {openSession} from '../stand-ins-2/caller.mjs';
import {LEAD_MS, openRecord, startDeployment} from '../stand-ins-2/deployment.mjs';
import {sleep} from '../stand-ins-2/wire.mjs';

/**
 * Another writer has put an entry among those of the servers whose address has no valid port. Then the primary is lost for good, and all processes are killed, as a final fault. Fails
 * where less than a quarter of the requests is served later than `recoveryS` after the machines are back. With `ENTRY=0` the faults come without the entry.
 */

const isTroubled = process.env.TROUBLE !== '0';
const hasEntry = process.env.ENTRY !== '0';

/** When the other writer's entry comes, the primary is lost and all processes are killed, in milliseconds since the start of traffic. */
const ENTRY_AT = 3000;
const LOST_AT = 5000;
const KILLED_AT = 5500;
const DOWN_MS = 1100;

/** `recoveryS` of the site. */
const RECOVERY_MS = 12_000;

/** Traffic after the recovery time. */
const JUDGED_MS = 20_000;

const MIN_SERVED = 0.25;
const PAUSE_MS = 100;
const DATABASES = ['sync', 'review', 'roster'];

const {record, close} = openRecord(new URL('record.txt', import.meta.url));

/** The entry of another writer: all fields have the types that servers write, but the address has no port that exists. */
const FOREIGN_ENTRY = {
	backend: 'sleeplog', address: '127.0.0.9:99999', zone: 'hall-a', revision: 'v1', capacity: 3, state: 'ready', coldRemainingMs: 0, dbRole: 'replica', sequence: 1,
};

const requests = [];
const times = {};

async function call(proxy, database, until) {
	let session;
	for (let i = 0; performance.now() < until; i++) {
		const sentAt = performance.now();
		if (!session || session.closed) {
			session = await openSession(proxy, database);
		}

		const isWrite = database === 'sync' && i % 3 === 0;
		const id = `${database}-${proxy.name.at(-1)}-${i}`;
		const {signature, code} = await session?.ask(id, isWrite ? `WRITE item${i % 10} v${i}` : `READ item${i % 10}`) ?? {code: 'no session'};
		const isServed = signature === `sig-${id}`;
		requests.push({sentAt, isServed});
		record(`client at ${proxy.name}: ${id} ${isServed ? 'served' : code ?? 'no answer'}`);
		await sleep(PAUSE_MS);
	}

	session?.leave();
}

async function killAll(deployment) {
	record('all processes are killed');
	for (const {child} of deployment.proxies) {
		child.kill('SIGKILL');
	}

	await sleep(DOWN_MS);
	await Promise.all(deployment.proxies.map(async proxy => deployment.restartProxy(proxy)));
	record('the machines are back');
	times.backAt = performance.now();
}

async function disturb(deployment) {
	await sleep(ENTRY_AT);
	if (hasEntry) {
		record(`another writer puts servers/i-foreign with the address ${FOREIGN_ENTRY.address}`);
		deployment.store.put('servers', 'i-foreign', FOREIGN_ENTRY);
	}

	await sleep(LOST_AT - ENTRY_AT);
	times.faultAt = performance.now();
	deployment.group.crash(deployment.group.latest);
	await sleep(KILLED_AT - LOST_AT);
	await killAll(deployment);
}

function getServedShare(from, to) {
	const those = requests.filter(({sentAt}) => sentAt >= from && sentAt < to);
	return those.filter(({isServed}) => isServed).length / Math.max(1, those.length);
}

async function run() {
	const deployment = await startDeployment({proxies: 3, record});
	try {
		await sleep(LEAD_MS);
		const startedAt = performance.now();
		const until = startedAt + KILLED_AT + DOWN_MS + RECOVERY_MS + JUDGED_MS;
		record('traffic begins');
		await Promise.all([
			...deployment.proxies.flatMap(proxy => DATABASES.map(async database => call(proxy, database, until))),
			isTroubled ? disturb(deployment) : undefined,
		]);
		const faultAt = times.faultAt ?? startedAt + LOST_AT;
		const recoveredAt = (times.backAt ?? startedAt + KILLED_AT + DOWN_MS) + RECOVERY_MS;
		const before = getServedShare(startedAt, faultAt);
		const after = getServedShare(recoveredAt, Number.POSITIVE_INFINITY);
		record(`RULE RECOVER: ${before.toFixed(3)} of the requests were served before the fault, ${after.toFixed(3)} later than ${RECOVERY_MS} ms after the machines were back`);
		if (before < MIN_SERVED) {
			throw new Error('less than a quarter was served before the fault');
		}

		return after < MIN_SERVED ? 1 : 0;
	} finally {
		await deployment.stop();
	}
}

try {
	process.exitCode = await run();
} catch (err) {
	record(`the case could not run: ${err.message}`);
	process.exitCode = 2;
}

await close();
