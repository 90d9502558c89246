import type {EndpointStatus} from '../endpoints/endpoint.js';
import type {Hosts, Owning} from '../membership/hosts.js';
import type {Peers} from '../peers/peers.js';
import type {PlatformHost} from '../object-store/platform.js';
import type {Clock} from '../time/clock.js';
import type {ConfirmSuspicionAnswer} from './failover-calls.js';
import type {FailoverSettings} from './failover-settings.js';

/** What other hosts say of servers that this one cannot reach. */
export type Opinion = {
	/** True once another host answered that it cannot reach them either, or where there is no other host at all. */
	readonly confirmed: boolean;
	/** Who was heard, for the log. */
	readonly heard: readonly string[];
	/** What the others saw, by address. */
	readonly seen: ConfirmSuspicionAnswer['seen'];
};

/** What {@link createSecondOpinion} needs. */
export type SecondOpinionOptions = {
	readonly clock: Clock;
	readonly peers: Peers;
	readonly hosts: Hosts;
	readonly owning: Owning;
	readonly settings: FailoverSettings;
	readonly group: string;
	/** How many hosts look after the group. */
	getOwnerCount(): number;
};

/** Asks hosts in other availability zones whether they reach servers that are silent here. */
export type SecondOpinion = {
	/** Asks about the servers at these addresses; `refutes` tells whether a status shows that the suspicion is wrong. */
	ask(addresses: readonly string[], refutes: (status: EndpointStatus) => boolean): Promise<Opinion>;
};

/** How many hosts that are no owners are asked. */
const MOST_WITNESSES = 2;

/** Creates the asker of one group. */
export function createSecondOpinion(options: SecondOpinionOptions): SecondOpinion {
	const {clock, peers, hosts, owning, settings} = options;

	const isElsewhere = (host: PlatformHost) => host.name !== hosts.self.name && host.availabilityZone !== hosts.self.availabilityZone;

	const askHost = async (host: PlatformHost, addresses: readonly string[]) => {
		const {witnessProbeMs, peerSlackMs} = settings;
		try {
			const answer = await peers.call(
				host.address,
				'confirm-suspicion',
				{group: options.group, addresses, probeMs: witnessProbeMs},
				witnessProbeMs + peerSlackMs,
			);
			hosts.reportReachable(host.address);
			return {host: host.name, answer};
		} catch {
			hosts.reportUnreachable(host.address, clock.now());
			return undefined;
		}
	};

	const askAll = async (witnesses: readonly PlatformHost[], addresses: readonly string[]) => {
		const answers = await Promise.all(witnesses.map(async host => askHost(host, addresses)));
		return answers.filter(answer => answer !== undefined);
	};

	const getOwners = () => owning.getOwners(options.group, options.getOwnerCount(), clock.now()).filter(host => isElsewhere(host));

	const getWitnesses = (asked: readonly PlatformHost[]) => {
		const isCandidate = (host: PlatformHost) => host.role === 'proxy' && host.name !== hosts.self.name && !asked.some(({name}) => name === host.name);
		const candidates = hosts.getUsable(clock.now()).filter(host => isCandidate(host));
		const elsewhere = candidates.filter(host => isElsewhere(host));
		return pickAcrossZones(elsewhere.length > 0 ? elsewhere : candidates);
	};

	const isAlone = () => hosts.getAll().every(host => host.role !== 'proxy' || host.name === hosts.self.name);

	return {
		async ask(addresses, refutes) {
			if (isAlone()) {
				return {confirmed: true, heard: [], seen: []};
			}

			// Where another owner reaches the primary, requests can go through it: its word counts. Others are asked at the
			// same time, for the case that no owner answers, so that the death of one does not hold up the group.
			const owners = getOwners();
			const askingWitnesses = askAll(getWitnesses(owners), addresses);
			const fromOwners = await askAll(owners, addresses);
			const answers = fromOwners.length > 0 ? fromOwners : await askingWitnesses;

			// A host that nobody answers is most likely cut off itself and must not depose a healthy primary.
			const seen = answers.flatMap(({answer}) => answer.seen);
			const confirmed = answers.length > 0 && !seen.some(({status}) => refutes(status));
			return {confirmed, heard: answers.map(({host}) => host), seen};
		},
	};
}

/** Picks a few hosts, one from each availability zone before a second of any. */
function pickAcrossZones(usable: readonly PlatformHost[]): readonly PlatformHost[] {
	const zones = new Map<string, number>();
	const ranked = usable.map(host => {
		const turn = zones.get(host.availabilityZone) ?? 0;
		zones.set(host.availabilityZone, turn + 1);
		return {host, turn};
	});
	return ranked.toSorted((left, right) => left.turn - right.turn).slice(0, MOST_WITNESSES).map(({host}) => host);
}
