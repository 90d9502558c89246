import type {RegisteredEndpoint} from '../routes/routing.js';

/** The endpoints that may have confirmed commits of a group whose primary waits for replicas. */
export type ReplicaSet = {
	/** Lowest number of replicas that the group's primary has waited for, above 0. */
	readonly syncReplicas: number;
	/** Includes the primary, former primaries and endpoints that are no longer registered but may hold commits that no other replica has received. */
	readonly members: readonly ReplicaSetMember[];
};

/** An endpoint that may have confirmed commits. */
export type ReplicaSetMember = {
	readonly endpointId: string;
	/** `ip:port`. */
	readonly address: string;
	/** Set once the endpoint has announced that it is leaving: the endpoint that follows at its address takes over its log. */
	readonly leaving?: true;
};

type Listed = Pick<RegisteredEndpoint, 'id' | 'address' | 'leaving'>;

/** What is known of a group's endpoints now. */
export type GroupEndpoints = {
	/** The recorded primary, which belongs to the set whether it is listed or not; empty if it is not known. */
	readonly primaryId: string;
	readonly listed: readonly Listed[];
	/** Number of replicas that the configuration names, above 0. */
	readonly syncReplicas: number;
};

/**
 * Returns the set with the primary and the endpoints that are listed now, and with a lower number of replicas where the configuration has one. A higher number does not count:
 * the primary may have acknowledged commits before it knew of that. Returns `known` itself if nothing changes.
 */
export function extendReplicaSet(known: ReplicaSet | undefined, {primaryId, listed, syncReplicas}: GroupEndpoints): ReplicaSet {
	const members = new Map(known?.members.map(member => [member.endpointId, member]));
	let isChanged = known === undefined || syncReplicas < known.syncReplicas;
	for (const {id, address, leaving} of listed) {
		const member = members.get(id);
		if (!member || (leaving && !member.leaving)) {
			members.set(id, {endpointId: id, address, ...(leaving && {leaving})});
			isChanged = true;
		}
	}

	if (!members.has(primaryId)) {
		members.set(primaryId, {endpointId: primaryId, address: ''});
		isChanged = true;
	}

	return isChanged ? {syncReplicas: Math.min(syncReplicas, known?.syncReplicas ?? syncReplicas), members: [...members.values()]} : known!;
}

/** Returns the members that are neither listed nor the primary: their logs may be gone. */
export function getDepartedMembers({members}: ReplicaSet, listed: readonly Listed[], primaryId: string): readonly ReplicaSetMember[] {
	return members.filter(({endpointId}) => endpointId !== primaryId && !listed.some(({id}) => id === endpointId));
}
