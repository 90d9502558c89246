import {CONFIRM_INTERVAL_MS} from '../mirror/store-mirror.js';
import type {Route} from '../routes/routing.js';
import {AnswerCode} from '../statements/statement-answer.js';
import {withinMs} from '../time/deadline.js';
import type {GatewayParts} from './gateway-parts.js';
import {refuse, type RefusalResult} from './statement-result.js';

/** The route of a database, or the refusal of a request that names one without a route. */
export type RouteLookup =
	| {readonly found: true; readonly route: Route}
	| {readonly found: false; readonly refusal: RefusalResult};

/** Maximum wait for proof that a database has no route, in milliseconds: callers give up on a session that is not open after 2,000. */
const PROOF_WAIT_MS = 1000;

/** The same at a host that the store has not confirmed for {@link ISOLATED_AFTER_MS}, in milliseconds: one that was just resumed has its confirmation within that time. */
const ISOLATED_WAIT_MS = 150;

/** Age of the last confirmation by the store above which the next one cannot be expected soon, in milliseconds: several attempts have failed. */
const ISOLATED_AFTER_MS = 5 * CONFIRM_INTERVAL_MS;

/** Time after which a caller may try again whose database may have a route that this host has not learnt of, in milliseconds: a store that answers again has confirmed all hosts by then. */
const UNPROVEN_RETRY_AFTER_MS = 1000;

/** Time after which a caller may try again whose route may be in a configuration that is arriving, in milliseconds: 1 MB over 7 Mbit/s takes as long. */
const ARRIVING_RETRY_AFTER_MS = 1200;

const UNKNOWN = refuse(AnswerCode.UnknownDatabase, 'no route has this name');
const UNPROVEN = refuse(AnswerCode.Overloaded, 'this host cannot tell whether its configuration is the latest; nothing ran', UNPROVEN_RETRY_AFTER_MS);
const ARRIVING = refuse(AnswerCode.Overloaded, 'a later configuration is arriving at this host; nothing ran', ARRIVING_RETRY_AFTER_MS);

/**
 * Finds the route of a database.
 *
 * That a database has none is proven only by a confirmation that was requested from the store after the caller's request arrived: any earlier one may lack a route that has been
 * added since. It comes without a call, since a call for each unknown name would be charged to each host.
 * @param isWanted Whether to wait for the proof; otherwise the request is refused as unproven.
 */
export async function findRoute(parts: GatewayParts, database: string, isWanted: () => boolean): Promise<RouteLookup> {
	const {clock, elapsedClock, mirror} = parts;
	const arrivedAt = elapsedClock.elapsed();
	const until = clock.now() + (isIsolated(parts, arrivedAt) ? ISOLATED_WAIT_MS : PROOF_WAIT_MS);
	for (;;) {
		const route = mirror.state.routing?.routes.get(database);
		if (route) {
			return {found: true, route};
		}

		if (isConfirmedSince(parts, arrivedAt)) {
			return refuseMissing(parts, database, UNKNOWN);
		}

		const leftMs = until - clock.now();
		if (leftMs <= 0 || !isWanted()) {
			return refuseMissing(parts, database, mirror.isRoutingComplete ? UNPROVEN : ARRIVING);
		}

		await withinMs(clock, leftMs, mirror.nextConfirmation());
	}
}

function isConfirmedSince({mirror}: GatewayParts, at: number): boolean {
	return mirror.routingConfirmedAt !== undefined && mirror.routingConfirmedAt >= at;
}

function isIsolated(parts: GatewayParts, now: number): boolean {
	return !isConfirmedSince(parts, now - ISOLATED_AFTER_MS);
}

function refuseMissing({log, mirror, elapsedClock}: GatewayParts, database: string, refusal: RefusalResult): RouteLookup {
	const {code, text} = refusal.end;
	const storeConfirmedAgoMs = mirror.routingConfirmedAt === undefined ? undefined : Math.round(elapsedClock.elapsed() - mirror.routingConfirmedAt);
	log.info('no route has the name of a database', {
		database, code, reason: text, routing: mirror.state.routing?.version, storeConfirmedAgoMs,
	});
	return {found: false, refusal};
}
