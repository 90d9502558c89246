import type {VersionedGroup} from '../configuration/configuration.js';
import {EndpointRole, type EndpointStatus} from '../endpoints/endpoint.js';
import type {LogPosition} from '../terms/log-position.js';
import {createConfirmedSamples} from './confirmed-samples.js';
import type {EndpointKnowledge, GroupKnowledge} from './group-knowledge.js';
import {createPrimaryHistory} from './primary-history.js';

/** What {@link createGroupKnowledge} needs. */
export type GroupKnowledgeOptions = {
	/** The configuration in force. */
	getGroup(): VersionedGroup;
};

/** What is known of an endpoint, and the address at which it was observed: a name that is given to another server starts without knowledge. */
type Entry = {
	readonly address: string;
	knowledge: EndpointKnowledge;
};

/**
 * Returns whether a status is outdated. Responses to concurrent requests may arrive in any order, and one with a lower promised term, or with the same
 * term observed earlier, would make a superseded primary count as primary again.
 */
function isOutdated(status: EndpointStatus, now: number, known: EndpointKnowledge | undefined): boolean {
	if (!known?.status || status.term > known.status.term) {
		return false;
	}

	return status.term < known.status.term || now < known.seenAt;
}

/** Creates the knowledge of one group, of which nothing was observed yet. */
export function createGroupKnowledge(options: GroupKnowledgeOptions): GroupKnowledge {
	const entries = new Map<string, Entry>();
	const samples = createConfirmedSamples();
	const history = createPrimaryHistory();
	let highestTerm = 0;

	const getEndpoints = () => options.getGroup().cfg.endpoints;

	const getAddress = (endpoint: string) => getEndpoints().find(({name}) => name === endpoint)?.address;

	const getKnowledge = (endpoint: string) => {
		const entry = entries.get(endpoint);
		return entry && entry.address === getAddress(endpoint) ? entry.knowledge : undefined;
	};

	const setKnowledge = (endpoint: string, knowledge: EndpointKnowledge) => {
		const address = getAddress(endpoint);
		if (address !== undefined) {
			entries.set(endpoint, {address, knowledge});
		}
	};

	const getLogAgeMs = (log: LogPosition, now: number) => {
		const heldAt = samples.getHeldAt(log);
		return heldAt === undefined ? Infinity : Math.max(0, now - heldAt);
	};

	return {
		observe(endpoint, status, now) {
			if (getAddress(endpoint) === undefined || isOutdated(status, now, getKnowledge(endpoint))) {
				return;
			}

			highestTerm = Math.max(highestTerm, status.term);
			setKnowledge(endpoint, {status, seenAt: now, failures: 0});
			if (status.role === EndpointRole.Primary && status.term === highestTerm && status.log.term === highestTerm) {
				history.note(status.log, now);
			}
		},
		observeFailure(endpoint, now) {
			const known = getKnowledge(endpoint);
			if (known && now < known.seenAt) {
				return;
			}

			setKnowledge(endpoint, {
				status: known?.status,
				seenAt: known?.seenAt ?? -Infinity,
				failures: (known?.failures ?? 0) + 1,
				failingSince: known?.failingSince ?? now,
			});
		},
		get: getKnowledge,
		getPrimary() {
			return getEndpoints().find(({name}) => {
				const status = getKnowledge(name)?.status;
				return status?.role === EndpointRole.Primary && status.term === highestTerm;
			});
		},
		get highestTerm() {
			return highestTerm;
		},
		observeConfirmed(position, term, now) {
			samples.add({term, position}, now);
		},
		getAgeMs(endpoint, now) {
			const status = getKnowledge(endpoint)?.status;
			return status ? getLogAgeMs(status.log, now) : Infinity;
		},
		getLogAgeMs,
		getReachedAt: log => history.getReachedAt(log),
	};
}
