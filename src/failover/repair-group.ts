import {isEndpointError} from '../endpoints/endpoint-errors.js';
import type {EndpointStatus} from '../endpoints/endpoint.js';
import {type EndpointConfig, EndpointOrder, type GroupConfig} from '../groups/group-config.js';
import type {GroupKnowledge} from '../groups/group-knowledge.js';
import type {Log} from '../log/log.js';
import {compareLogPositions, type LogPosition} from '../terms/log-position.js';
import type {Clock} from '../time/clock.js';
import type {FailoverSettings} from './failover-settings.js';
import type {GroupControl} from './group-control.js';

/** Sends servers that came back, or that follow nobody, to follow the present primary. */
export type GroupRepair = {
	/** Looks at every server once; owners of lower rank leave a server to the others for a while. */
	run(rank: number): Promise<void>;
};

/** What {@link createGroupRepair} needs. */
export type GroupRepairOptions = {
	readonly clock: Clock;
	readonly control: GroupControl;
	readonly knowledge: GroupKnowledge;
	readonly settings: FailoverSettings;
	readonly log: Log;
	getCfg(): GroupConfig;
};

/** A server that is behind the primary and where it stood. */
type Idle = {
	readonly term: number;
	readonly log: LogPosition;
	readonly since: number;
	readonly patienceMs: number;
};

/** Longest pause between two orders to follow that did not help, in milliseconds. */
const MOST_PATIENCE_MS = 60_000;

/** Creates the repair of one group. It never raises a term: `follow` carries that of the present primary. */
export function createGroupRepair(options: GroupRepairOptions): GroupRepair {
	const {clock, control, knowledge, settings, log} = options;
	const idle = new Map<string, Idle>();

	const getPatienceMs = (status: EndpointStatus, primary: EndpointStatus, rank: number) => {
		// A server of a lower term, or without the primary's first entry, follows nobody or somebody else; any other one lags.
		const astray = status.term < primary.term || status.log.term < primary.term;
		return (astray ? 0 : settings.repairIdleMs) + (rank * settings.rankDelayMs);
	};

	/** Tells whether a server has stood still behind the primary for too long. */
	const isStuck = (name: string, status: EndpointStatus, primary: EndpointStatus, rank: number) => {
		if (status.term === primary.term && compareLogPositions(status.log, primary.log) >= 0) {
			idle.delete(name);
			return false;
		}

		const now = clock.now();
		let known = idle.get(name);
		if (known?.term !== primary.term || compareLogPositions(known.log, status.log) !== 0) {
			known = {
				term: primary.term, log: status.log, since: now, patienceMs: getPatienceMs(status, primary, rank),
			};
			idle.set(name, known);
		}

		if (now - known.since < known.patienceMs) {
			return false;
		}

		// A replica that merely lags looks the same; each order that does not help is followed by a longer pause.
		const patienceMs = Math.min(MOST_PATIENCE_MS, Math.max(settings.repairIdleMs, known.patienceMs * 2));
		idle.set(name, {...known, since: now, patienceMs});
		return true;
	};

	const repair = async (endpoint: EndpointConfig, primary: EndpointConfig, term: number) => {
		try {
			const answer = await control.follow(endpoint.name, term, primary.address, settings.learnMs);
			log.info(answer.granted ? 'had a server follow the primary' : 'was refused by a server sent to follow', {
				endpoint: endpoint.name, primary: primary.name, term,
			});
		} catch (err) {
			if (!isEndpointError(err)) {
				throw err;
			}

			log.debug('could not reach a server sent to follow', {endpoint: endpoint.name});
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
			const lost = others.filter(endpoint => needsRepair(endpoint, status, rank));
			await Promise.all(lost.map(async endpoint => repair(endpoint, primary, status.term)));
		},
	};
}
