import {createSeededRandom} from '../../src/random/seeded-random.js';
import type {Routing} from '../../src/routes/routing.js';
import type {Workspace} from '../../src/workspaces/workspace.js';
import {createProxyBench, ROUTES, type ProxyBench} from './proxy-bench.js';

/** The result of a schedule of revoked keys. */
export type RevocationResult = {
	/** Statements that ran under a key that had been revoked for longer than the bound when the statement was sent. */
	readonly ranTooLate: readonly string[];
	/** Statements that ran for a workspace other than that of their caller's key. */
	readonly ranForOther: readonly string[];
	/** Number of statements that ran. */
	readonly ran: number;
};

const REVOKE_WITHIN_MS = 5000;
const PLAY_MS = 14_000;
const STEP_MS = 120;
const PROXIES = 4;

const WORKSPACES: readonly Workspace[] = ['north', 'south', 'west'].map(name => ({name, keys: [`${name}-1`, `${name}-2`], priority: 0}));

function write({system}: ProxyBench, version: number, revoked: ReadonlySet<string>) {
	const routing: Routing = {
		version,
		routes: new Map(ROUTES.map(route => [route.database, {...route, needsKey: true}])),
		groups: new Map([['nights', {name: 'nights', maxConnections: 22}]]),
		workspaces: new Map(WORKSPACES.map(workspace => [workspace.name, {...workspace, keys: workspace.keys.filter(key => !revoked.has(key))}])),
		idleTransactionMs: 3000,
	};
	system.store.setRouting(routing);
}

/** Revokes keys at random times while the store is unavailable to hosts and hosts are cut off from each other; callers go on sending with each key. */
export async function playRevocation(seed: number): Promise<RevocationResult> {
	const random = createSeededRandom(seed);
	const bench = await createProxyBench({proxies: PROXIES, workspaces: WORKSPACES, revokeWithinMs: REVOKE_WITHIN_MS});
	const {clock, system, proxies} = bench;
	const keys = WORKSPACES.flatMap(workspace => workspace.keys);
	const revokedAt = new Map<string, number>();
	const sent = new Map<string, {readonly key: string; readonly at: number}>();
	let version = 1;
	let statements = 0;

	const pick = <T>(list: readonly T[]) => list[Math.floor(random.fraction() * list.length)]!;

	const causeFault = () => {
		const proxy = pick(proxies);
		switch (Math.floor(random.fraction() * 4)) {
			case 0: {
				system.store.setFaults(proxy.name, {silent: true});
				return;
			}

			case 1: {
				system.store.setFaults(undefined, {refused: true});
				return;
			}

			case 2: {
				for (const other of proxies.filter(each => each !== proxy)) {
					system.network.setFaultsBetween(proxy.peerAddress, other.peerAddress, {cut: true});
				}

				return;
			}

			default: {
				system.store.heal();
				system.network.heal();
			}
		}
	};

	const callers = [];
	for (const key of keys) {
		for (const proxy of proxies) {
			callers.push({key, caller: await bench.open(proxy, pick(['sync', 'review', 'roster']), undefined, key)});
		}
	}

	const endsAt = clock.now() + PLAY_MS;
	while (clock.now() < endsAt) {
		if (random.fraction() < 0.06) {
			causeFault();
		}

		if (random.fraction() < 0.03 && revokedAt.size < keys.length - 1) {
			const key = pick(keys.filter(each => !revokedAt.has(each)));
			revokedAt.set(key, clock.now());
			write(bench, ++version, new Set(revokedAt.keys()));
		}

		const {key, caller} = pick(callers);
		const id = `s${++statements}`;
		sent.set(id, {key, at: clock.now()});
		void bench.send(caller, pick(['READ a', `WRITE a ${statements}`]), id);
		await clock.advance(random.fraction() * STEP_MS);
	}

	await clock.advance(3000);
	system.stop();
	return getResult(bench.ran, sent, revokedAt);
}

function getResult(ran: readonly string[], sent: ReadonlyMap<string, {readonly key: string; readonly at: number}>, revokedAt: ReadonlyMap<string, number>): RevocationResult {
	const ranTooLate: string[] = [];
	const ranForOther: string[] = [];
	for (const line of ran) {
		const words = line.split(' ');
		const [id = '', workspace = ''] = [words[2], words[4]];
		const {key, at} = sent.get(id)!;
		if (at > (revokedAt.get(key) ?? Number.POSITIVE_INFINITY) + REVOKE_WITHIN_MS) {
			ranTooLate.push(line);
		}

		if (!key.startsWith(`${workspace}-`)) {
			ranForOther.push(line);
		}
	}

	return {ranTooLate, ranForOther, ran: ran.length};
}
