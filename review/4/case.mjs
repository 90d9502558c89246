import process from 'node:process';
import {openSession} from '../stand-ins-2/caller.mjs';
import {LEAD_MS, openRecord, startDeployment} from '../stand-ins-2/deployment.mjs';
import {sleep} from '../stand-ins-2/wire.mjs';

/**
 * A service with `syncReplicas` 1 loses its primary while one replica is behind and the other one, which has confirmed the commits, is cut off from the proxies for some
 * seconds. Fails where the server that is promoted lacks a commit that was acknowledged to a client.
 */

const isTroubled = process.env.TROUBLE !== '0';

/** When a replica stops to receive and for how long, in milliseconds since the start of traffic. */
const DEAF_AT = 3000;
const DEAF_MS = 6500;

/** When the other replica is cut off from the proxies, and for how long. */
const CUT_AT = 5000;
const CUT_MS = 5500;

/** When the primary crashes, and for how long. */
const CRASH_AT = 5500;
const CRASH_MS = 7000;

const TRAFFIC_MS = 25_000;
const WRITERS = 3;
const WRITE_PAUSE_MS = 60;

const {record, close} = openRecord(new URL('record.txt', import.meta.url));

/** Ids of the writes that were acknowledged to a client with a signature. */
const acknowledged = new Set();
const lost = new Set();
let promotions = 0;

function judgePromotion(server) {
	promotions++;
	const kept = new Set(server.log.map(({id}) => id));
	const missing = [...acknowledged].filter(id => !kept.has(id));
	for (const id of missing) {
		lost.add(id);
	}

	record(`RULE LOST: ${missing.length} of ${acknowledged.size} acknowledged commits are not in the log of ${server.id}${missing.length === 0 ? '' : `: ${missing.join(' ')}`}`);
}

async function write(deployment, proxy, writer, until) {
	let session;
	for (let i = 0; performance.now() < until; i++) {
		if (!session || session.closed) {
			session = await openSession(proxy, 'sync');
		}

		const id = `w${writer}x${i}`;
		const {signature, code} = await session?.ask(id, `WRITE item${writer} ${id}`) ?? {code: 'no session'};
		if (signature === `sig-${id}`) {
			acknowledged.add(id);
		}

		record(`client ${writer} at ${proxy.name}: ${id} ${signature === undefined ? code ?? 'no answer' : 'acknowledged'}`);
		await sleep(WRITE_PAUSE_MS);
	}

	session?.leave();
}

async function disturb({group}) {
	const [primary, confirming, behind] = group.servers;
	const at = [
		[DEAF_AT, () => {
			record(`${behind.id} receives nothing from now on`);
			behind.deaf = true;
		}],
		[CUT_AT, () => group.cutOff(confirming)],
		[CRASH_AT, () => group.crash(primary)],
		[DEAF_AT + DEAF_MS, () => {
			record(`${behind.id} receives again`);
			behind.deaf = false;
		}],
		[CUT_AT + CUT_MS, () => group.heal(confirming)],
		[CRASH_AT + CRASH_MS, () => group.restart(primary)],
	];
	const startedAt = performance.now();
	for (const [ms, act] of at.toSorted(([left], [right]) => left - right)) {
		await sleep(startedAt + ms - performance.now());
		await act();
	}
}

async function run() {
	const deployment = await startDeployment({
		proxies: 3, record, onPromoted: judgePromotion, group: {syncReplicas: 1},
	});
	try {
		await sleep(LEAD_MS);
		const until = performance.now() + TRAFFIC_MS;
		record('traffic begins');
		await Promise.all([
			...Array.from({length: WRITERS}, async (_, i) => write(deployment, deployment.proxies[i], i, until)),
			isTroubled ? disturb(deployment) : undefined,
		]);
	} finally {
		await deployment.stop();
	}

	record(`${acknowledged.size} commits were acknowledged; ${promotions} promotions; ${lost.size} acknowledged commits were lost`);
	if (acknowledged.size === 0) {
		throw new Error('no write was acknowledged');
	}

	return lost.size === 0 ? 0 : 1;
}

try {
	process.exitCode = await run();
} catch (err) {
	record(`the case could not run: ${err.message}`);
	process.exitCode = 2;
}

await close();
