import {Counter, Gauge, type Registry} from 'prom-client';
import type {SessionMetrics} from './session-metrics.js';

/** Creates the metrics of sessions on connections to endpoints in a registry. */
export function createPromSessionMetrics(registry: Registry): SessionMetrics {
	const registers = [registry];
	const refusedCommands = new Counter({
		name: 'aldercroft_session_commands_refused_total', help: 'Commands that set up a session and that an endpoint refused, by their kind', labelNames: ['command'], registers,
	});
	const unknownNames = new Counter({
		name: 'aldercroft_prepared_names_unknown_total', help: 'Prepared statements that an endpoint did not know although it had accepted them', registers,
	});
	const closedStatements = new Counter({
		name: 'aldercroft_prepared_statements_closed_total', help: 'Prepared statements that were closed on their connection to make room for another', registers,
	});
	const prepared = new Gauge({name: 'aldercroft_prepared_statements', help: 'Statements that are prepared on connections to endpoints', registers});

	return {
		countRefusedCommand(command) {
			refusedCommands.inc({command});
		},
		countUnknownName() {
			unknownNames.inc();
		},
		countClosedStatement() {
			closedStatements.inc();
		},
		addPrepared(change) {
			prepared.inc(change);
		},
	};
}
