import type {EndpointRequest, LinkOpener} from '../links/endpoint-link.js';
import {isLinkRefused} from '../links/link-errors.js';
import type {EndpointAnswer} from '../statements/statement-answer.js';

/** Bytes of a request or an answer besides its texts: ids, state, position and signature. */
const FRAMING_BYTES = 90;

/** Called for connections to endpoints of other regions, by the zone of the endpoint. */
export type FarLinkListener = {
	onBytes(zone: string, bytes: number): void;
	onAnswer(zone: string): void;
	/** Called where an endpoint did not answer in time, or its connection was lost. */
	onSilence(zone: string, endpointId: string): void;
};

/**
 * Wraps the opener of connections to endpoints so that the bytes of statements and answers are counted on those to other regions.
 *
 * `getFarZone` returns the zone of an endpoint of another region, undefined for one of this host's region.
 */
export function countStatements(opener: LinkOpener, getFarZone: (endpointId: string) => string | undefined, {onBytes, onAnswer, onSilence}: FarLinkListener): LinkOpener {
	return {
		async open(target, timeoutMs, listener) {
			const zone = getFarZone(target.endpointId);
			if (zone === undefined) {
				return opener.open(target, timeoutMs, listener);
			}

			const watch = async <T>(promise: Promise<T>): Promise<T> => {
				try {
					const result = await promise;
					onAnswer(zone);
					return result;
				} catch (err) {
					if (!isLinkRefused(err)) {
						onSilence(zone, target.endpointId);
					}

					throw err;
				}
			};

			const link = await watch(opener.open(target, timeoutMs, listener));

			const count = (bytes: number) => {
				onBytes(zone, bytes);
			};

			return {
				...link,
				get pending() {
					return link.pending;
				},
				get closed() {
					return link.closed;
				},
				async exchange(req) {
					count(getRequestBytes(req));
					const answer = await watch(link.exchange(req));
					count(getAnswerBytes(answer));
					return answer;
				},
			};
		},
	};
}

function getRequestBytes({command}: EndpointRequest): number {
	if (command.kind === 'run') {
		return FRAMING_BYTES + command.text.length;
	}

	return command.kind === 'execute' ? FRAMING_BYTES + command.name.length + (command.args?.length ?? 0) : FRAMING_BYTES;
}

function getAnswerBytes({rows}: EndpointAnswer): number {
	let bytes = FRAMING_BYTES;
	for (const row of rows) {
		bytes += row.length + 1;
	}

	return bytes;
}
