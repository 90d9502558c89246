import type {EndpointStatus} from '../endpoints/endpoint.js';
import type {EndpointConfig, GroupConfig} from '../groups/group-config.js';
import type {GroupKnowledge} from '../groups/group-knowledge.js';
import {compareLogPositions, LOG_START} from '../terms/log-position.js';
import {isServing} from './choose-candidate.js';

/** What {@link chooseSuccessor} needs. */
export type SuccessorOptions = {
	readonly knowledge: GroupKnowledge;
	readonly cfg: GroupConfig;
	isHostLeaving(address: string): boolean;
};

/** What the present state of a group asks of its leader. */
export type Succession = {
	/** The primary that is to give up its role. */
	readonly primary: EndpointConfig;
	/** The most caught-up replica that takes work, undefined where there is none. */
	readonly successor: EndpointConfig | undefined;
};

/** Finds out whether the primary is to be relieved, and by whom; undefined where it may stay. */
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
