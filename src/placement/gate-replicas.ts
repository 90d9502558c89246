import type {EndpointLink, EndpointRequest, LinkOpener} from '../links/endpoint-link.js';
import {SessionState} from '../statements/statement.js';
import {AnswerCode, type EndpointAnswer} from '../statements/statement-answer.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import {createReplicaProgress, type ReplicaProgress} from './replica-progress.js';

/** A link opener whose links refuse reads that the endpoint would refuse as lagging. */
export type GatedOpener = LinkOpener & {
	/** Drops what is known of all other endpoints. */
	keepOnly(endpointIds: ReadonlySet<string>): void;
};

/**
 * An endpoint that is known to be behind a floor is sent one read in this time, in milliseconds, which shows how far it has come. The time bounds how long a
 * replica that has caught up goes unnoticed.
 */
const PROBE_INTERVAL_MS = 50;

type Gate = {readonly progress: ReplicaProgress; probedAt: number};

/**
 * Refuses reads whose floor an endpoint has not reached without sending them there, and adds the predicted time of the floor to the endpoint's own refusals.
 *
 * Guards against replicas that lag behind and are tried in vain by every host: each try costs the endpoint a slot, and each of hundreds of hosts
 * sees too few answers of a group to predict when a replica catches up. The hosts that keep connections to an endpoint see all of its answers.
 */
export function gateReplicas(opener: LinkOpener, elapsedClock: ElapsedClock): GatedOpener {
	const gates = new Map<string, Gate>();

	const getGate = (endpointId: string) => {
		const gate = gates.get(endpointId) ?? {progress: createReplicaProgress(), probedAt: Number.NEGATIVE_INFINITY};
		gates.set(endpointId, gate);
		return gate;
	};

	const isRefused = ({progress, probedAt}: Gate, reachedInMs: number | undefined, now: number) => {
		if (reachedInMs === 0) {
			return false;
		}

		// Where nothing is predicted, the answer to the last probe counts as long as it is recent.
		const isProbeDue = now - Math.max(progress.heldAt, probedAt) >= PROBE_INTERVAL_MS;
		return progress.held !== undefined && !isProbeDue;
	};

	const exchange = async (link: EndpointLink, endpointId: string, req: EndpointRequest): Promise<EndpointAnswer> => {
		const gate = getGate(endpointId);
		const {progress} = gate;
		if (req.floor) {
			const now = elapsedClock.elapsed();
			const reachedInMs = progress.predict(now, req.floor);
			if (isRefused(gate, reachedInMs, now)) {
				return {
					rows: [],
					end: {
						kind: 'error', code: AnswerCode.Lagging, text: `${endpointId} is behind; nothing ran`, isOwn: true,
					},
					state: SessionState.Idle,
					position: progress.held,
					reachedInMs: toFinite(reachedInMs),
					unsent: true,
				};
			}

			gate.probedAt = now;
		}

		const answer = await link.exchange(req);
		if (!answer.position || answer.state !== SessionState.Idle) {
			return answer;
		}

		const now = elapsedClock.elapsed();
		progress.note(now, answer.position);
		const isLagging = req.floor !== undefined && answer.end.kind === 'error' && answer.end.code === AnswerCode.Lagging;
		return isLagging ? {...answer, reachedInMs: toFinite(progress.predict(now, req.floor))} : answer;
	};

	return {
		async open(target, timeoutMs, listener) {
			const link = await opener.open(target, timeoutMs, listener);
			return {
				firstPosition: link.firstPosition,
				get pending() {
					return link.pending;
				},
				get closed() {
					return link.closed;
				},
				exchange: async req => exchange(link, target.endpointId, req),
				readStatus: async req => link.readStatus(req),
				cut() {
					link.cut();
				},
				close() {
					link.close();
				},
				onClose(onClosed) {
					link.onClose(onClosed);
				},
			};
		},
		keepOnly(endpointIds) {
			for (const endpointId of gates.keys()) {
				if (!endpointIds.has(endpointId)) {
					gates.delete(endpointId);
				}
			}
		},
	};
}

/** Answers are sent between hosts as JSON, which has no Infinity. */
function toFinite(ms: number | undefined): number | undefined {
	return ms === undefined || Number.isFinite(ms) ? ms : undefined;
}
