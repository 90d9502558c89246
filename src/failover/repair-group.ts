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
	/** Looks at every server once. */
	run(): Promise<void>;
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

	/** Tells whether a server of the present term has stood still behind the primary for too long. */
	const isStuck = (name: string, status: EndpointStatus, primary: EndpointStatus) => {
		if (compareLogPositions(status.log, primary.log) >= 0) {
			idle.delete(name);
			return false;
		}

		const now = clock.now();
		const known = idle.get(name);
		if (!known || compareLogPositions(known.log, status.log) !== 0) {
			idle.set(name, {log: status.log, since: now, patienceMs: settings.repairIdleMs});
			return false;
		}

		if (now - known.since < known.patienceMs) {
			return false;
		}

		// A replica that merely lags looks the same; each order that does not help is followed by a longer pause.
		idle.set(name, {log: status.log, since: now, patienceMs: Math.min(MOST_PATIENCE_MS, known.patienceMs * 2)});
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

	const needsRepair = (endpoint: EndpointConfig, primary: EndpointStatus) => {
		const known = knowledge.get(endpoint.name);
		if (!known?.status || known.failures > 0) {
			return false;
		}

		return known.status.term < primary.term || isStuck(endpoint.name, known.status, primary);
	};

	return {
		async run() {
			const primary = knowledge.getPrimary();
			const status = primary && knowledge.get(primary.name)?.status;
			if (!status) {
				return;
			}

			const others = options.getCfg().endpoints.filter(({name, order}) => name !== primary.name && order !== EndpointOrder.Stop);
			const lost = others.filter(endpoint => needsRepair(endpoint, status));
			await Promise.all(lost.map(async endpoint => repair(endpoint, primary, status.term)));
		},
	};
}
