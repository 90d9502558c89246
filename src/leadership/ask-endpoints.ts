import type {KnownEndpoint} from '../links/endpoint-directory.js';
import {EndpointRole} from '../endpoints/endpoint.js';
import type {EndpointCommand, EndpointStatus} from '../links/endpoint-link.js';
import {LinkError} from '../links/link-errors.js';
import {holdsLogPosition} from '../terms/log-position.js';
import {withinMs} from '../time/deadline.js';
import type {SuccessorCandidate} from './choose-successor.js';
import type {LeadershipRecord} from './leadership-record.js';
import type {ReplacePrimaryParts} from './replace-parts.js';

/** Longest question to an endpoint, in milliseconds: a status waits for a slot behind statements of 60 ms at most. */
const STATUS_TIMEOUT_MS = 500;

/** A primary that is being replaced for its silence may answer so much later than the others, in milliseconds. */
const SILENT_EXTRA_MS = 30;

/** Longest wait for a successor to hold all of a primary that still serves, in milliseconds. */
const CATCH_UP_MS = 1500;

/** Pause before endpoints that have to catch up are asked again, in milliseconds. */
const CATCH_UP_POLL_MS = 40;

/** An endpoint is let go at least so often, with a pause in milliseconds between: one that is cut off for 5 s is still reached. */
const UNFENCE_TRIES = 8;
const UNFENCE_PAUSE_MS = 700;

/**
 * Asks every endpoint of a group; those that do not answer are left out. A primary that is being replaced for its silence would hold up
 * the others for the whole timeout, which callers wait for: it gets little longer than they took.
 */
export async function gatherCandidates(parts: ReplacePrimaryParts, group: string, command: EndpointCommand, silentId?: string): Promise<readonly SuccessorCandidate[]> {
	const ask = async (endpoint: KnownEndpoint): Promise<SuccessorCandidate | undefined> => {
		const status = await askStatus(parts, endpoint, command);
		return status && {endpointId: endpoint.entry.id, leaving: endpoint.entry.leaving, status};
	};

	const endpoints = parts.directory.list(group);
	const silent = endpoints.find(({entry}) => entry.id === silentId);
	const askedSilent = silent && ask(silent);
	const answers = await Promise.all(endpoints.filter(endpoint => endpoint !== silent).map(async endpoint => ask(endpoint)));
	const late = askedSilent && await withinMs(parts.clock, SILENT_EXTRA_MS, askedSilent);
	return [...answers, late?.timedOut === false ? late.value : undefined].filter(candidate => candidate !== undefined);
}

/** Asks one endpoint; undefined where no status came in time. */
export async function askStatus({clock}: Pick<ReplacePrimaryParts, 'clock'>, {pool}: KnownEndpoint, command: EndpointCommand): Promise<EndpointStatus | undefined> {
	try {
		const bounded = await withinMs(clock, STATUS_TIMEOUT_MS, pool.ask(command, STATUS_TIMEOUT_MS));
		return bounded.timedOut ? undefined : bounded.value;
	} catch (err) {
		if (!(err instanceof LinkError)) {
			throw err;
		}

		return undefined;
	}
}

/** Waits until an endpoint other than the primary holds all of its log, which no longer grows; at most for a bounded time. */
export async function waitForCatchUp(parts: ReplacePrimaryParts, before: LeadershipRecord): Promise<void> {
	const until = parts.clock.now() + CATCH_UP_MS;
	for (;;) {
		const all = await gatherCandidates(parts, before.group, {kind: 'status'});
		const primary = all.find(({endpointId}) => endpointId === before.primaryId);
		const caughtUp = all.some(({endpointId, leaving, status}) => endpointId !== before.primaryId && !leaving
			&& (!primary || holdsLogPosition(status.received, primary.status.received)));
		if (caughtUp || parts.clock.now() >= until) {
			return;
		}

		await parts.clock.sleep(CATCH_UP_POLL_MS);
	}
}

/**
 * Leaves out candidates whose fence is gone.
 *
 * Guards against a host that was not reached and holds evidence from the endpoints themselves, none of which had shown it a
 * fence: an endpoint that restarted after it was fenced shows none again, so what that host saw there may be younger than
 * the time that was waited for. Such an endpoint is no candidate in this replacement.
 */
export async function keepFenced(parts: ReplacePrimaryParts, candidates: readonly SuccessorCandidate[], before: LeadershipRecord): Promise<readonly SuccessorCandidate[]> {
	const now = await gatherCandidates(parts, before.group, {kind: 'status'});
	return candidates.filter(({endpointId, status}) => status.role === EndpointRole.Primary
		|| now.some(other => other.endpointId === endpointId && other.status.fencedTerm > before.term));
}

/** Lets all endpoints of a group receive again but the one that leads; nothing waits for it. */
export function liftFences(parts: Pick<ReplacePrimaryParts, 'clock' | 'directory'>, group: string, leadingId: string) {
	for (const endpoint of parts.directory.list(group)) {
		if (endpoint.entry.id !== leadingId) {
			void unfence(parts, endpoint);
		}
	}
}

/** Lets the other replicas receive again and makes the former primary one; nothing waits for it. */
export function cleanUp(parts: ReplacePrimaryParts, leading: SuccessorCandidate, before: LeadershipRecord) {
	liftFences(parts, before.group, leading.endpointId);
	const former = parts.directory.get(before.primaryId);
	if (former && before.primaryId !== leading.endpointId) {
		void askStatus(parts, former, {kind: 'step-down', term: leading.status.term});
	}
}

/** An endpoint left fenced would receive nothing for ever, so it is asked again where no answer came. */
async function unfence(parts: Pick<ReplacePrimaryParts, 'clock'>, endpoint: KnownEndpoint) {
	for (let i = 0; i < UNFENCE_TRIES; i++) {
		if (await askStatus(parts, endpoint, {kind: 'unfence'})) {
			return;
		}

		await parts.clock.sleep(UNFENCE_PAUSE_MS);
	}
}
