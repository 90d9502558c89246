import type {Route} from '../routes/routing.js';
import {AnswerCode} from '../statements/statement-answer.js';
import type {GatewayParts} from './gateway-parts.js';
import {createProofWait, type ProofWaitOptions} from './proof-wait.js';
import {describeDatabase} from './describe-database.js';
import {refuse, type RefusalResult} from './statement-result.js';

/** The route of a database, or the refusal of a request that names one without a route. */
export type RouteLookup =
	| {readonly found: true; readonly route: Route}
	| {readonly found: false; readonly refusal: RefusalResult};

/** Time after which a caller may try again whose route may have been added or dropped, in milliseconds: a store that answers again has confirmed all hosts by then. */
const UNPROVEN_RETRY_AFTER_MS = 1000;

/** Time after which a caller may try again whose route may be in a configuration that is arriving, in milliseconds: 1 MB over 7 Mbit/s takes as long. */
const ARRIVING_RETRY_AFTER_MS = 1200;

const UNKNOWN = refuse(AnswerCode.UnknownDatabase, 'no route has this name');
const UNPROVEN = refuse(AnswerCode.Overloaded, 'this host cannot tell whether its configuration is the latest; nothing ran', UNPROVEN_RETRY_AFTER_MS);
const ARRIVING = refuse(AnswerCode.Overloaded, 'a later configuration is arriving at this host; nothing ran', ARRIVING_RETRY_AFTER_MS);

/** Finds the route of a database. That there is none has to be proven, and a route counts only while the configuration that has it may be in force. */
export async function findRoute(parts: GatewayParts, database: string, options: ProofWaitOptions): Promise<RouteLookup> {
	const {mirror} = parts;
	const wait = createProofWait(parts, options);
	do {
		const route = mirror.state.routing?.routes.get(database);
		if (route && mayBeInForce(parts)) {
			return {found: true, route};
		}

		if (!route && wait.isConfirmed()) {
			return refuseMissing(parts, database, UNKNOWN);
		}
	} while (await wait.next());

	return refuseMissing(parts, database, mirror.isRoutingComplete ? UNPROVEN : ARRIVING);
}

/** Whether work may begin under the configuration that is held: it may have been replaced at any moment since the store last confirmed it, which the deployment bounds. */
function mayBeInForce({mirror, elapsedClock, maxRoutingAgeMs = Number.POSITIVE_INFINITY}: GatewayParts): boolean {
	return elapsedClock.elapsed() - (mirror.routingConfirmedAt ?? Number.NEGATIVE_INFINITY) <= maxRoutingAgeMs;
}

function refuseMissing({log, mirror, elapsedClock}: GatewayParts, database: string, refusal: RefusalResult): RouteLookup {
	const {code, text} = refusal.end;
	const storeConfirmedAgoMs = mirror.routingConfirmedAt === undefined ? undefined : Math.round(elapsedClock.elapsed() - mirror.routingConfirmedAt);
	log.info('a database has no route that is known to be in force', {
		...describeDatabase(mirror, database), code, reason: text, routing: mirror.state.routing?.version, storeConfirmedAgoMs,
	});
	return {found: false, refusal};
}
