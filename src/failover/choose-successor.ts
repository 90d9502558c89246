import type {EndpointStatus} from '../endpoints/endpoint.js';
import type {EndpointConfig, GroupConfig} from '../groups/group-config.js';
import type {GroupKnowledge} from '../groups/group-knowledge.js';
import {compareLogPositions, LOG_START} from '../terms/log-position.js';
import {isServing} from './choose-candidate.js';

/** Options of {@link chooseSuccessor}. */
export type SuccessorOptions = {
	readonly knowledge: GroupKnowledge;
	readonly cfg: GroupConfig;
	isHostLeaving(address: string): boolean;
};

/** A change of primary that the group's current state requires. */
export type Succession = {
	/** The primary to replace. */
	readonly primary: EndpointConfig;
	/** The replica with the highest log among those that may get work, undefined where there is none. */
	readonly successor: EndpointConfig | undefined;
};

/** Returns which endpoint should replace the primary; undefined where the primary may stay or is unknown. */
export function chooseSuccessor(options: SuccessorOptions): Succession | undefined {
	const {knowledge, cfg} = options;
	const getStatus = (endpoint: EndpointConfig): EndpointStatus | undefined => {
		const known = knowledge.get(endpoint.name);
		return known?.failures === 0 ? known.status : undefined;
	};

	const serves = (endpoint: EndpointConfig) => isServing(endpoint, getStatus(endpoint), address => options.isHostLeaving(address));
	const primary = knowledge.getPrimary();
	if (!primary || serves(primary)) {
		return undefined;
	}

	const getLog = (endpoint: EndpointConfig) => getStatus(endpoint)?.log ?? LOG_START;
	const successor = cfg.endpoints
		.filter(endpoint => endpoint.name !== primary.name && serves(endpoint) && getStatus(endpoint)?.term === knowledge.highestTerm)
		.toSorted((left, right) => compareLogPositions(getLog(right), getLog(left)))
		.at(0);
	return {primary, successor};
}
