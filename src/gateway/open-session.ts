import {AnswerCode} from '../statements/statement-answer.js';
import {getFingerprint} from '../workspaces/key-index.js';
import {admitCaller} from './admit-operation.js';
import type {CallerChannel, CallerRequest} from './caller-channel.js';
import {describeDatabase} from './describe-database.js';
import {findRoute} from './find-route.js';
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

/** Time within which a session is opened or refused, in milliseconds: callers give up on one that is not open after 2,000. */
const OPEN_WITHIN_MS = 1800;

/** Poll interval for the first configuration at a host that starts, in milliseconds. */
const ROUTING_RECHECK_MS = 20;

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
	const until = clock.now() + OPEN_WITHIN_MS;
	await waitForRouting(parts, options, until);
	// A host that is stopping may end before the wait for proof does; another host can serve the caller.
	const found = mirror.state.routing && await findRoute(parts, database, {isWanted: () => !channel.left && !getStopPlan(), until});
	const plan = getStopPlan();
	if (isPastAdmission(plan, clock.now()) || (plan && !found?.found)) {
		log.info('a session was refused: the host is stopping', describeDatabase(mirror, database));
		channel.refuse(STOPPING.end.code, STOPPING.end.text);
		return undefined;
	}

	if (!found) {
		log.info('a session was refused: no configuration is known yet', describeDatabase(mirror, database));
		channel.refuse(AnswerCode.Overloaded, 'this host is starting');
		return undefined;
	}

	if (!found.found) {
		const {code, text} = found.refusal.end;
		channel.refuse(code, text);
		return undefined;
	}

	const {route} = found;
	const memory = createSessionMemory(database, getFingerprint(req.key));
	const admission = admitCaller(parts, memory.fingerprint, route);
	if (!admission.admitted) {
		const {code, text} = admission.refusal.end;
		log.info('a session was refused: its key is not valid', {database, code, routing: mirror.state.routing?.version});
		channel.refuse(code, text);
		return undefined;
	}

	channel.greet();
	return memory;
}

/** Waits for the first configuration. A host that has just started knows no routes yet, which must not be mistaken for a route that does not exist. */
async function waitForRouting({clock, mirror}: GatewayParts, {channel, getStopPlan}: OpenSessionOptions, until: number) {
	while (!mirror.state.routing && !channel.left && !getStopPlan() && clock.now() < until) {
		await clock.sleep(ROUTING_RECHECK_MS);
	}
}
