import {isEndpointError} from '../endpoints/endpoint-errors.js';
import type {EndpointStatus} from '../endpoints/endpoint.js';
import {type EndpointConfig, EndpointOrder, type GroupConfig} from '../groups/group-config.js';
import type {GroupKnowledge} from '../groups/group-knowledge.js';
import type {Log} from '../log/log.js';
import {compareLogPositions, type LogPosition} from '../terms/log-position.js';
import type {Clock} from '../time/clock.js';
import type {FailoverSettings} from './failover-settings.js';
import type {GroupControl} from './group-control.js';

/** Orders servers that are reachable again, or that follow no primary, to follow the current one. */
export type GroupRepair = {
	/** Checks every server once; owners of lower rank wait longer before they act. */
	run(rank: number): Promise<void>;
};

/** Options of {@link createGroupRepair}. */
export type GroupRepairOptions = {
	readonly clock: Clock;
	readonly control: GroupControl;
	readonly knowledge: GroupKnowledge;
	readonly settings: FailoverSettings;
	readonly log: Log;
	getCfg(): GroupConfig;
};

/** A server that is behind the primary, with the position at which it stopped. */
type StalledServer = {
	readonly term: number;
	readonly log: LogPosition;
	readonly since: number;
	readonly delayMs: number;
};

/** Longest pause between two unsuccessful orders to follow, in milliseconds. */
const MAX_REPAIR_DELAY_MS = 60_000;

/** Creates the repair of one group. It never raises a term: `follow` carries the current primary's. */
export function createGroupRepair(options: GroupRepairOptions): GroupRepair {
	const {clock, control, knowledge, settings, log} = options;
	const stalled = new Map<string, StalledServer>();

	const getInitialDelayMs = (status: EndpointStatus, primary: EndpointStatus, rank: number) => {
		// A server of a lower term, or without the primary's first entry, follows no primary or another one; any other server lags.
		const isUnattached = status.term < primary.term || status.log.term < primary.term;
		return (isUnattached ? 0 : settings.repairIdleMs) + (rank * settings.rankDelayMs);
	};

	/** Returns whether a server has been behind the primary without advancing for too long. */
	const isStuck = (name: string, status: EndpointStatus, primary: EndpointStatus, rank: number) => {
		if (status.term === primary.term && compareLogPositions(status.log, primary.log) >= 0) {
			stalled.delete(name);
			return false;
		}

		const now = clock.now();
		let known = stalled.get(name);
		if (known?.term !== primary.term || compareLogPositions(known.log, status.log) !== 0) {
			known = {
				term: primary.term, log: status.log, since: now, delayMs: getInitialDelayMs(status, primary, rank),
			};
			stalled.set(name, known);
		}

		if (now - known.since < known.delayMs) {
			return false;
		}

		// A replica that merely lags looks the same, so the pause doubles after each order that does not help.
		const delayMs = Math.min(MAX_REPAIR_DELAY_MS, Math.max(settings.repairIdleMs, known.delayMs * 2));
		stalled.set(name, {...known, since: now, delayMs});
		return true;
	};

	const repair = async (endpoint: EndpointConfig, primary: EndpointConfig, term: number) => {
		try {
			const answer = await control.follow(endpoint.name, term, primary.address, settings.learnMs);
			log.info(answer.granted ? 'ordered a server to follow the primary' : 'a server refused the order to follow the primary', {
				endpoint: endpoint.name, primary: primary.name, term,
			});
		} catch (err) {
			if (!isEndpointError(err)) {
				throw err;
			}

			log.debug('could not reach a server to order it to follow the primary', {endpoint: endpoint.name});
		}
	};

	const needsRepair = (endpoint: EndpointConfig, primary: EndpointStatus, rank: number) => {
		const known = knowledge.get(endpoint.name);
		return known?.status !== undefined && known.failures === 0 && isStuck(endpoint.name, known.status, primary, rank);
	};

	return {
		async run(rank) {
			const primary = knowledge.getPrimary();
			const status = primary && knowledge.get(primary.name)?.status;
			if (!status) {
				return;
			}

			const others = options.getCfg().endpoints.filter(({name, order}) => name !== primary.name && order !== EndpointOrder.Stop);
			const needingRepair = others.filter(endpoint => needsRepair(endpoint, status, rank));
			await Promise.all(needingRepair.map(async endpoint => repair(endpoint, primary, status.term)));
		},
	};
}
