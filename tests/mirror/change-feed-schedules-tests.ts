import {expect} from 'chai';
import {
	createMirrorFleet, createRouting, type MirrorFleet, type MirrorHost,
} from '../../src/bench/news-spread/mirror-fleet.js';
import type {HostRecord} from '../../src/leadership/leadership-record.js';
import {RecordKind} from '../../src/mirror/metadata-store.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import type {Random} from '../../src/random/random.js';

/*
 * Guards against a host that regards its copy of the store as confirmed at a later time than it was complete, because the request was sent before a change or the response was
 * long in transit. It would go on serving a route whose removal was acknowledged to the operator, and use a primary that has been replaced meanwhile.
 */

const HOSTS = 24;
const ZONES = 4;

const FAULTS_MS = 9000;
const STEP_MS = 50;

/** Maximum time for which a host may lag once all faults have ended, in milliseconds: hosts that did not respond are polled again after 5 s. */
const MAX_BEHIND_MS = 6500;

type Fault = (fleet: MirrorFleet, random: Random) => void;

const pick = (hosts: readonly MirrorHost[], random: Random) => hosts[Math.floor(random.fraction() * hosts.length)]!;

const FAULTS: Readonly<Record<string, Fault>> = {
	freezeHost({network, hosts, clock}, random) {
		const {address} = random.fraction() < 0.4 ? hosts[0]! : pick(hosts, random);
		network.pause(address);
		void clock.sleep(300 + (3000 * random.fraction())).then(() => {
			network.resume(address);
		});
	},
	cutPair({network, hosts}, random) {
		network.setFaultsBetween(random.fraction() < 0.4 ? hosts[0]!.address : pick(hosts, random).address, pick(hosts, random).address, {cut: true});
	},
	cutZone({network, hosts}, random) {
		const {zone} = pick(hosts, random);
		for (const inside of hosts.filter(host => host.zone === zone)) {
			for (const outside of hosts.filter(host => host.zone !== zone)) {
				network.setFaultsBetween(inside.address, outside.address, {cut: true});
			}
		}
	},
	healNetwork({network}) {
		network.heal();
	},
	silenceStore({store, hosts}, random) {
		const name = random.fraction() < 0.3 ? undefined : pick(hosts, random).name;
		store.setFaults(name, random.fraction() < 0.5 ? {silent: true} : {refused: true});
	},
	slowStore({store}, random) {
		store.setFaults(undefined, {responseMs: 800 * random.fraction()});
	},
	healStore({store}) {
		store.heal();
	},
};

/** Faults of a fleet in two regions, in addition. */
const REGIONAL_FAULTS: Readonly<Record<string, Fault>> = {
	...FAULTS,
	cutRegions({network, hosts}) {
		const isEast = ({zone}: MirrorHost) => zone < `zone-${ZONES / 2}`;
		for (const inside of hosts.filter(host => isEast(host))) {
			for (const outside of hosts.filter(host => !isEast(host))) {
				network.setFaultsBetween(inside.address, outside.address, {cut: true});
			}
		}
	},
	/** Registers other round-trip times to the store, one host after another, so that copies differ about the region of the root. */
	moveRoot({store, hosts, clock}, random) {
		const nearZone = pick(hosts, random).zone;
		void (async () => {
			for (const {name, zone} of hosts) {
				const record = store.getRecord(RecordKind.Hosts, name);
				await store.getClient(name).putRecord(RecordKind.Hosts, {...record!, value: {...record!.value as HostRecord, storeRttMs: zone === nearZone ? 5 : 20}}, 300).catch(() => undefined);
				await clock.sleep(20);
			}
		})();
	},
};

const pickFault = (faults: Readonly<Record<string, Fault>>, random: Random) => Object.values(faults)[Math.floor(random.fraction() * Object.keys(faults).length)]!;

/** Versions of the configuration, with the times at which they were written to the store. */
type Written = ReadonlyArray<{readonly at: number; readonly version: number}>;

function getVersionAt(written: Written, at: number): number {
	return written.findLast(each => each.at <= at)?.version ?? 0;
}

describe('random schedules of store updates among hosts', () => {
	function doTest(seed: number, isRegional = false) {
		it(`never show a copy older than its confirmation, nor one that goes back${isRegional ? ', in two regions' : ''}: seed ${seed}`, async () => {
			const random = createSeededRandom(seed);
			const fleet = createMirrorFleet({hostCount: HOSTS, zoneCount: ZONES, ...(isRegional && {regional: {isInForce: true, smallMbits: 7}})});
			const startedAt = fleet.clock.now();
			const written: Array<{at: number; version: number}> = [];
			const write = (version: number) => {
				fleet.store.setRouting(createRouting(version, random.fraction() < 0.2 ? 600 : 20, version));
				written.push({at: fleet.clock.now() - startedAt, version});
			};

			write(1);
			await fleet.start();
			const seen = new Map<MirrorHost, number>();
			const violations: string[] = [];
			const check = () => {
				for (const host of fleet.hosts) {
					const {state, routingConfirmedAt: confirmedAt} = host.mirror;
					const version = state.routing?.version ?? 0;
					if (confirmedAt !== undefined && version < getVersionAt(written, confirmedAt)) {
						violations.push(`${host.name} holds ${version}, confirmed at ${confirmedAt}, when it was ${getVersionAt(written, confirmedAt)}`);
					}

					if (version < (seen.get(host) ?? 0)) {
						violations.push(`${host.name} went back to ${version}`);
					}

					seen.set(host, version);
				}
			};

			for (let ms = 0; ms < FAULTS_MS; ms += STEP_MS) {
				if (random.fraction() < 0.12) {
					pickFault(isRegional ? REGIONAL_FAULTS : FAULTS, random)(fleet, random);
				}

				if (random.fraction() < 0.08) {
					write(written.length + 1);
				}

				await fleet.clock.advance(STEP_MS);
				check();
			}

			fleet.network.heal();
			fleet.store.heal();
			await fleet.clock.advance(3000);
			const last = written.at(-1)!.version;
			const behindMs = await fleet.awaitVersion(fleet.hosts, last);
			fleet.stop();
			expect(violations.slice(0, 3)).to.deep.equal([]);
			expect(behindMs).to.be.lessThan(MAX_BEHIND_MS - 3000);
		});
	}

	for (let seed = 1; seed <= 25; seed++) {
		doTest(seed);
		doTest(seed, true);
	}
});
