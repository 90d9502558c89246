import {AnswerCode} from '../statements/statement-answer.js';
import {withinMs} from '../time/deadline.js';
import {getFingerprint} from '../workspaces/key-index.js';
import {admitCaller} from './admit-operation.js';
import type {CallerChannel, CallerRequest} from './caller-channel.js';
import type {GatewayParts} from './gateway-parts.js';
import {createSessionMemory, type SessionMemory} from './session-memory.js';
import {STOPPING} from './stop-answers.js';
import {isPastAdmission, type StopPlan} from './stop-plan.js';

/** Options of opening a session, besides the gateway's parts. */
export type OpenSessionOptions = {
	readonly channel: CallerChannel;
	/** Returns the plan of the host's stop; undefined until the host is ordered to stop. */
	getStopPlan(): StopPlan | undefined;
};

/** Maximum wait for the first configuration, in milliseconds: callers give up on a session that is not open after 2,000. */
const ROUTING_WAIT_MS = 1800;

/** Poll interval for the first configuration at a host that starts, in milliseconds. */
const ROUTING_RECHECK_MS = 20;

/** Maximum wait for a route that may have just been added, in milliseconds: callers give up on a session that is not open after 2,000. */
const MISSING_ROUTE_WAIT_MS = 1000;

/** Time after which a caller may try again whose route may be in a configuration that is arriving, in milliseconds: 1 MB over 7 Mbit/s takes as long. */
const ARRIVING_RETRY_AFTER_MS = 1200;

/** Opens a session where its first request may open one. Resolves with the session's memory; undefined where the session was refused. */
export async function openSession(parts: GatewayParts, req: CallerRequest | undefined, options: OpenSessionOptions): Promise<SessionMemory | undefined> {
	const {clock, log, mirror} = parts;
	const {channel, getStopPlan} = options;
	if (req?.kind !== 'open') {
		if (req) {
			channel.refuse(AnswerCode.Malformed, 'a session begins by naming its database');
		}

		return undefined;
	}

	const {database} = req;
	await waitForRouting(parts, options);
	const getRoute = () => mirror.state.routing?.routes.get(database);
	// A host that is stopping may end before this wait does; another host can serve the caller.
	let timedOut = false;
	if (!getRoute() && !getStopPlan()) {
		// The mirror may lack a route that was just added. Its next confirmation comes without a call; a call for each unknown name would be charged to each host.
		({timedOut} = await withinMs(clock, MISSING_ROUTE_WAIT_MS, mirror.nextConfirmation()));
	}

	const plan = getStopPlan();
	if (isPastAdmission(plan, clock.now()) || (plan && !getRoute())) {
		log.info('a session was refused: the host is stopping', {database});
		channel.refuse(STOPPING.end.code, STOPPING.end.text);
		return undefined;
	}

	if (!mirror.state.routing) {
		log.info('a session was refused: no configuration is known yet', {database});
		channel.refuse(AnswerCode.Overloaded, 'this host is starting');
		return undefined;
	}

	const route = getRoute();
	if (!route && !mirror.isRoutingComplete) {
		log.info('a session was refused: no route has its name, and a later configuration is arriving', {database, routing: mirror.state.routing.version});
		channel.refuse(AnswerCode.Overloaded, `retry-after-ms=${ARRIVING_RETRY_AFTER_MS} a later configuration is arriving at this host`);
		return undefined;
	}

	if (!route) {
		log.info('a session was refused: no route has its name', {
			database, routing: mirror.state.routing.version, storeConfirmedAgoMs: getStoreConfirmedAgoMs(parts), timedOut,
		});
		channel.refuse(AnswerCode.UnknownDatabase, 'no route has this name');
		return undefined;
	}

	const memory = createSessionMemory(database, getFingerprint(req.key));
	const admission = admitCaller(parts, memory.fingerprint, route);
	if (!admission.admitted) {
		const {code, text} = admission.refusal.end;
		log.info('a session was refused: its key is not valid', {database, code, routing: mirror.state.routing.version});
		channel.refuse(code, text);
		return undefined;
	}

	channel.greet();
	return memory;
}

/** Returns the age of the last confirmation by the store that the configuration is the latest, in milliseconds; undefined before the first. */
function getStoreConfirmedAgoMs({mirror, elapsedClock}: GatewayParts): number | undefined {
	return mirror.routingConfirmedAt === undefined ? undefined : Math.round(elapsedClock.elapsed() - mirror.routingConfirmedAt);
}

/** Waits for the first configuration. A host that has just started knows no routes yet, which must not be mistaken for a route that does not exist. */
async function waitForRouting({clock, mirror}: GatewayParts, {channel, getStopPlan}: OpenSessionOptions) {
	const until = clock.now() + ROUTING_WAIT_MS;
	while (!mirror.state.routing && !channel.left && !getStopPlan() && clock.now() < until) {
		await clock.sleep(ROUTING_RECHECK_MS);
	}
}
