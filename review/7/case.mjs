import process from 'node:process';
import {openSession} from '../stand-ins-2/caller.mjs';
import {LEAD_MS, openRecord, startDeployment} from '../stand-ins-2/deployment.mjs';
import {sleep} from '../stand-ins-2/wire.mjs';

/**
 * The configuration grows by many routes, four times, and the last of these versions drops a route, on machines with the slowest links of a grown site. Fails where a request on
 * the dropped route, sent later than `configApplyMs` after the acknowledgement, still runs, or one on a route that is there is refused as unknown.
 */

const isTroubled = process.env.TROUBLE !== '0';

const LINK_MBPS = 7;
const GROWTHS = 4;
const ROUTES_EACH = 1400;
const FIRST_AT = 3000;
const GROWTH_PAUSE_MS = 6000;

/** `configApplyMs` of the site. */
const APPLY_MS = 5000;

const TRAFFIC_MS = 60_000;
const PAUSE_MS = 100;
const MAX_VALUE_BYTES = 1_048_576;

/** The route that the last version drops, and one that it adds. */
const DROPPED = 'review';
const ADDED = 'added4';

const {record, close} = openRecord(new URL('record.txt', import.meta.url));

const sentAt = new Map();
const runs = new Map();
const unknown = [];
const served = [];
let acknowledgedAt;

async function call(proxy, database, until) {
	let session;
	for (let i = 0; performance.now() < until; i++) {
		const startedAt = performance.now();
		if (!session || session.closed) {
			session = await openSession(proxy, database);
		}

		const id = `${database}-${proxy.name.at(-1)}-${i}`;
		sentAt.set(id, performance.now());
		const {signature, code} = await session?.ask(id, `READ item${i % 10}`) ?? {code: 'NO SESSION'};
		const isUnknown = session === undefined || code === 'NOSUCHDB';
		if (isUnknown && database === ADDED) {
			unknown.push(startedAt);
		}

		if (signature !== undefined) {
			served.push({database, at: startedAt});
		}

		record(`client at ${proxy.name}: ${id} ${signature === undefined ? code ?? 'no answer' : 'success'}`);
		await sleep(PAUSE_MS);
	}

	session?.leave();
}

/** Writes the versions: each adds routes, and the last one drops one. */
async function grow({store, service}) {
	await sleep(FIRST_AT);
	for (let growth = 1; growth <= GROWTHS; growth++) {
		const {spec} = store.get('config', 'main');
		const added = Array.from({length: isTroubled ? ROUTES_EACH : 1}, (_, i) => ({
			name: `r-g${growth}x${i}`,
			host: i === 0 ? `added${growth}` : `grown${growth}x${i}`,
			pathPrefix: '/',
			type: 'primary',
			timeoutMs: 1000,
			targetLatencyMs: 200,
			priority: 1,
			backend: service,
			maxAttempts: 2,
		}));
		const routes = [...spec.routes, ...added].filter(({host}) => growth < GROWTHS || host !== DROPPED);
		const next = {...spec, revision: spec.revision + 3, routes};
		const bytes = JSON.stringify(next).length;
		if (bytes > MAX_VALUE_BYTES) {
			throw new Error(`a configuration of ${bytes} bytes is too large`);
		}

		store.put('config', 'main', next);
		acknowledgedAt = performance.now();
		record(`version ${next.revision} with ${routes.length} routes in ${bytes} bytes is acknowledged`);
		await sleep(GROWTH_PAUSE_MS);
	}
}

async function run() {
	const deployment = await startDeployment({
		proxies: 3,
		record,
		storeLinkMbps: LINK_MBPS,
		bounds: {
			stableWindowMs: 5000, ackMs: 8000, catchUpS: 6, drainMs: 10_000, configApplyMs: APPLY_MS, maxSkewMs: 15_000, recoveryS: 15,
		},
		onRead(id) {
			runs.set(id, performance.now());
		},
	});
	try {
		await sleep(LEAD_MS);
		const until = performance.now() + TRAFFIC_MS;
		record('traffic begins');
		await Promise.all([
			...deployment.proxies.flatMap(proxy => ['sync', 'roster', DROPPED, ADDED].map(async database => call(proxy, database, until))),
			grow(deployment),
		]);
		const dueAt = acknowledgedAt + APPLY_MS;
		const old = [...runs.keys()].filter(id => id.startsWith(DROPPED) && sentAt.get(id) > dueAt);
		const refused = unknown.filter(at => at > dueAt);
		const lastServed = Math.max(...served.map(({at}) => at));
		record(`the last request that was served at all was sent ${Math.round(lastServed - acknowledgedAt)} ms after the last acknowledgement; ${Math.round(until - lastServed)} ms before the end`);
		record(`RULE CONFIG: of the requests sent later than ${APPLY_MS} ms after the last acknowledgement`);
		record(`RULE CONFIG: ${old.length} ran on the route that it dropped, ${refused.length} were refused as unknown on a route that it added`);
		return old.length + refused.length === 0 ? 0 : 1;
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
