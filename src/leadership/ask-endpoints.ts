import type {KnownEndpoint} from '../links/endpoint-directory.js';
import {EndpointRole} from '../endpoints/endpoint.js';
import type {EndpointCommand, EndpointStatus} from '../links/endpoint-link.js';
import {LinkError} from '../links/link-errors.js';
import {holdsLogPosition} from '../terms/log-position.js';
import {withinMs} from '../time/deadline.js';
import type {SuccessorCandidate} from './choose-successor.js';
import type {LeadershipRecord} from './leadership-record.js';
import type {ReplacePrimaryParts} from './replace-parts.js';

/** Timeout of a request to an endpoint, in milliseconds: a status request waits for a slot behind statements of 60 ms at most. */
const STATUS_TIMEOUT_MS = 500;

/** Extra time for the response of a primary that is being replaced because it is silent, after those of the others, in milliseconds. */
const SILENT_GRACE_MS = 30;

/** Timeout of the wait for a successor to hold the whole log of a primary that still serves, in milliseconds. */
const CATCH_UP_TIMEOUT_MS = 1500;

/** Interval at which endpoints that have to catch up are asked again, in milliseconds. */
const CATCH_UP_POLL_MS = 40;

/** Attempts to lift an endpoint's fence and the pause between them, in milliseconds: an endpoint that is cut off for 5 s is still reached. */
const UNFENCE_ATTEMPTS = 8;
const UNFENCE_PAUSE_MS = 700;

/**
 * Sends a command to every endpoint of a group and returns those that responded. A primary that is being replaced because it is silent would
 * delay the result by the whole timeout while callers wait, so it gets only slightly longer than the others took.
 */
export async function gatherCandidates(parts: ReplacePrimaryParts, group: string, command: EndpointCommand, silentId?: string): Promise<readonly SuccessorCandidate[]> {
	const ask = async (endpoint: KnownEndpoint): Promise<SuccessorCandidate | undefined> => {
		const status = await askStatus(parts, endpoint, command);
		return status && {endpointId: endpoint.entry.id, leaving: endpoint.entry.leaving, status};
	};

	const endpoints = parts.directory.list(group);
	const silent = endpoints.find(({entry}) => entry.id === silentId);
	const askedSilent = silent && ask(silent);
	const responses = await Promise.all(endpoints.filter(endpoint => endpoint !== silent).map(async endpoint => ask(endpoint)));
	const late = askedSilent && await withinMs(parts.clock, SILENT_GRACE_MS, askedSilent);
	return [...responses, late?.timedOut === false ? late.value : undefined].filter(candidate => candidate !== undefined);
}

/** Sends a command to one endpoint; resolves to undefined if no status arrives in time. */
export async function askStatus({clock}: Pick<ReplacePrimaryParts, 'clock'>, {pool}: KnownEndpoint, command: EndpointCommand): Promise<EndpointStatus | undefined> {
	try {
		const bounded = await withinMs(clock, STATUS_TIMEOUT_MS, pool.sendCommand(command, STATUS_TIMEOUT_MS));
		return bounded.timedOut ? undefined : bounded.value;
	} catch (err) {
		if (!(err instanceof LinkError)) {
			throw err;
		}

		return undefined;
	}
}

/** Waits until an endpoint other than the primary holds the primary's whole log, which no longer grows; at most for {@link CATCH_UP_TIMEOUT_MS}. */
export async function waitForCatchUp(parts: ReplacePrimaryParts, before: LeadershipRecord): Promise<void> {
	const until = parts.clock.now() + CATCH_UP_TIMEOUT_MS;
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
 * Returns the candidates that are still fenced, or that are primary.
 *
 * A host that was not reached may hold a lease that it renewed because no endpoint reported a fence to it. An endpoint that restarted after it was
 * fenced reports none again, so that renewal may be more recent than the lease duration that was waited. Such an endpoint is no candidate in this
 * replacement.
 */
export async function keepFenced(parts: ReplacePrimaryParts, candidates: readonly SuccessorCandidate[], before: LeadershipRecord): Promise<readonly SuccessorCandidate[]> {
	const now = await gatherCandidates(parts, before.group, {kind: 'status'});
	return candidates.filter(({endpointId, status}) => status.role === EndpointRole.Primary
		|| now.some(other => other.endpointId === endpointId && other.status.fencedTerm > before.term));
}

/** Lifts the fences of all endpoints of a group except the primary, so that they receive again; returns without waiting. */
export function liftFences(parts: Pick<ReplacePrimaryParts, 'clock' | 'directory'>, group: string, leadingId: string) {
	for (const endpoint of parts.directory.list(group)) {
		if (endpoint.entry.id !== leadingId) {
			void unfence(parts, endpoint);
		}
	}
}

/** Lifts the fences of the other replicas and makes the former primary a replica; returns without waiting. */
export function restoreReplicas(parts: ReplacePrimaryParts, leading: SuccessorCandidate, before: LeadershipRecord) {
	liftFences(parts, before.group, leading.endpointId);
	const former = parts.directory.get(before.primaryId);
	if (former && before.primaryId !== leading.endpointId) {
		void askStatus(parts, former, {kind: 'step-down', term: leading.status.term});
	}
}

/** Lifts an endpoint's fence. An endpoint left fenced would never receive again, so the request is repeated if no response arrives. */
async function unfence(parts: Pick<ReplacePrimaryParts, 'clock'>, endpoint: KnownEndpoint) {
	for (let i = 0; i < UNFENCE_ATTEMPTS; i++) {
		if (await askStatus(parts, endpoint, {kind: 'unfence'})) {
			return;
		}

		await parts.clock.sleep(UNFENCE_PAUSE_MS);
	}
}
