import type {Route} from '../routes/routing.js';
import type {IdentifiedStatement} from '../statements/statement.js';
import type {GatewayParts} from './gateway-parts.js';
import type {StatementResult} from './statement-result.js';
import {describeTrace, type StatementTrace} from './statement-trace.js';

/** A statement and its answer. */
export type AnsweredStatement = {
	readonly req: IdentifiedStatement;
	readonly result: StatementResult;
	/** Time from the statement's arrival to its answer, in milliseconds. */
	readonly tookMs: number;
	readonly database: string;
	/** Undefined where the configuration no longer has one for the database. */
	readonly route: Route | undefined;
	readonly trace: StatementTrace;
};

/** Logged in place of an endpoint's text, which may repeat a statement of a caller. */
const ENDPOINT_TEXT = 'an endpoint answered so';

/** Counts an answered statement. Logs it where it was refused or late, so that it can be explained afterwards. */
export function observeStatement(parts: GatewayParts, answered: AnsweredStatement): void {
	const {elapsedClock, log, metrics, mirror} = parts;
	const {req: {id, statement}, result: {end}, tookMs, database, route, trace} = answered;
	const outcome = end.kind === 'error' ? end.code : 'done';
	metrics.observeStatement(statement.kind, outcome, tookMs / 1000);
	const isLate = route !== undefined && tookMs > route.targetLatencyMs;
	if (end.kind === 'complete' && !isLate) {
		return;
	}

	const record = route && mirror.state.leadership.get(route.group);
	log.info(end.kind === 'error' ? 'a statement was refused' : 'a statement was answered late', {
		id,
		kind: statement.kind,
		...(end.kind === 'error' && {code: end.code, text: end.isOwn ? end.text : ENDPOINT_TEXT}),
		database,
		group: route?.group,
		tookMs: Math.round(tookMs),
		...describeTrace(trace),
		routing: mirror.state.routing?.version,
		epoch: record?.epoch,
		phase: record?.phase,
		confirmedAgoMs: mirror.partsConfirmedAt === undefined ? undefined : Math.round(elapsedClock.elapsed() - mirror.partsConfirmedAt),
	});
}
