import type {EndpointStatus} from '../endpoints/endpoint.js';
import type {Hosts, Owning} from '../membership/hosts.js';
import type {Peers} from '../peers/peers.js';
import type {PlatformHost} from '../object-store/platform.js';
import type {Clock} from '../time/clock.js';
import type {ConfirmSuspicionResponse} from './failover-calls.js';
import type {FailoverSettings} from './failover-settings.js';

/** What other hosts report about servers that this one cannot reach. */
export type ReachabilityReport = {
	/** Whether other hosts answered and none of them disproved the suspicion, or there is no other proxy at all. */
	readonly confirmed: boolean;
	/** Names of the hosts that answered, for the log. */
	readonly reporters: readonly string[];
	/** Statuses that the other hosts received, with the servers' addresses. */
	readonly seen: ConfirmSuspicionResponse['seen'];
};

/** Options of {@link createReachabilityReports}. */
export type ReachabilityReportsOptions = {
	readonly clock: Clock;
	readonly peers: Peers;
	readonly hosts: Hosts;
	readonly owning: Owning;
	readonly settings: FailoverSettings;
	readonly group: string;
	/** Returns how many hosts own the group. */
	getOwnerCount(): number;
};

/** Asks other hosts, first those in other availability zones, whether they reach servers that do not answer this one. */
export type ReachabilityReports = {
	/** Requests a report on the servers at these addresses; `refutes` returns whether a status disproves the suspicion. */
	request(addresses: readonly string[], refutes: (status: EndpointStatus) => boolean): Promise<ReachabilityReport>;
};

/** How many witnesses, hosts that are not owners of the group, are asked. */
const MAX_WITNESSES = 2;

/** Creates the reachability reports of one group. */
export function createReachabilityReports(options: ReachabilityReportsOptions): ReachabilityReports {
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
		async request(addresses, refutes) {
			if (isAlone()) {
				return {confirmed: true, reporters: [], seen: []};
			}

			// Where another owner reaches the primary, requests can go through that owner, so its report takes precedence. Other
			// hosts are asked at the same time in case no owner answers, so that a dead owner does not delay the failover.
			const owners = getOwners();
			const askingWitnesses = askAll(getWitnesses(owners), addresses);
			const fromOwners = await askAll(owners, addresses);
			const answers = fromOwners.length > 0 ? fromOwners : await askingWitnesses;

			// A host that receives no answer at all is most likely cut off itself and must not depose a healthy primary.
			const seen = answers.flatMap(({answer}) => answer.seen);
			const confirmed = answers.length > 0 && !seen.some(({status}) => refutes(status));
			return {confirmed, reporters: answers.map(({host}) => host), seen};
		},
	};
}

/** Picks up to {@link MAX_WITNESSES} hosts, one from each availability zone before a second one from any. */
function pickAcrossZones(usable: readonly PlatformHost[]): readonly PlatformHost[] {
	const zones = new Map<string, number>();
	const ranked = usable.map(host => {
		const rankInZone = zones.get(host.availabilityZone) ?? 0;
		zones.set(host.availabilityZone, rankInZone + 1);
		return {host, rankInZone};
	});
	return ranked.toSorted((left, right) => left.rankInZone - right.rankInZone).slice(0, MAX_WITNESSES).map(({host}) => host);
}
