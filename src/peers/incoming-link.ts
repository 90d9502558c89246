import type {Clock} from '../time/clock.js';
import {withinMs} from '../time/deadline.js';
import {createSleepAlarm} from '../time/sleep-alarm.js';
import {createFrameWriter} from './frame-writer.js';
import {authenticateAsResponder, type PeerCredentials} from './peer-authentication.js';
import {throwNotAuthenticated, UNKNOWN_KIND_REASON} from './peer-errors.js';
import {
	decodeFrames, encodeFrame, FrameType, type CallFrame, type PeerFrame,
} from './peer-frame.js';
import type {PeerHandlers} from './peer-handlers.js';
import type {PeerLimits} from './peer-limits.js';
import type {PeerChannel} from './peer-transport.js';
import type {PeerIdentity} from './peers.js';

/** A link on which a peer calls this host. */
export type IncomingLink = {
	/**
	 * Takes no more calls, lets running ones complete for at most `drainMs`, then waits at most `callerCloseMs` for the caller
	 * to close the link, and closes it.
	 */
	drain(): Promise<void>;
};

/** What an incoming link needs. */
export type IncomingLinkOptions = {
	readonly channel: PeerChannel;
	readonly peer: PeerIdentity;
	readonly handlers: PeerHandlers;
	readonly limits: PeerLimits;
	readonly clock: Clock;
	/** Called with the size of each response that is sent, in bytes, and the kind of its call. */
	onSent(kind: string, bytes: number): void;
	/** Called once when the link has ended. */
	onClose(): void;
};

/** Maximum number of characters of an error's message that are sent to the caller. */
const MAX_REASON_LENGTH = 500;

/** The responder closes an idle link after this many times the caller's limit, in case the caller died without closing it. */
const IDLE_FACTOR = 2;

/** Runs the responder's part of the handshake; rejects with PeerError if it takes longer than `openTimeoutMs`. */
export async function authenticateWithin(channel: PeerChannel, credentials: PeerCredentials, limits: PeerLimits, clock: Clock): Promise<PeerIdentity> {
	const outcome = await withinMs(clock, limits.openTimeoutMs, authenticateAsResponder(channel, credentials));
	return outcome.timedOut ? throwNotAuthenticated(`no proof within ${limits.openTimeoutMs} ms`) : {address: outcome.value};
}

/** Handles the calls that arrive on an authenticated link. */
export function createIncomingLink(options: IncomingLinkOptions): IncomingLink {
	const {channel, peer, handlers, limits, clock} = options;
	const writer = createFrameWriter(channel, limits.maxFrameBytes);
	const closed = createSleepAlarm();
	let running = 0;
	let draining = false;
	let lastReceivedAt = clock.now();
	let onIdle: (() => void) | undefined;

	const write = (frame: PeerFrame, kind?: string) => {
		// A caller that reads no responses would otherwise fill this host's memory.
		if (writer.bufferedBytes > limits.maxBufferedBytes) {
			channel.terminate();
			return;
		}

		const bytes = encodeFrame(frame, limits.maxFrameBytes);
		writer.write({bytes, claim: () => true});
		if (kind !== undefined) {
			options.onSent(kind, bytes.length);
		}
	};

	const respond = async (call: CallFrame) => {
		const handler = draining ? undefined : handlers.get(call.kind);
		if (!handler) {
			const reason = draining ? 'the host ends its links' : UNKNOWN_KIND_REASON;
			write({type: FrameType.Refusal, id: call.id, reason});
			return;
		}

		running++;
		try {
			const res = await handler(call.req, peer);
			write({type: FrameType.Response, id: call.id, res}, call.kind);
		} catch (err) {
			// Also for a response that cannot be encoded, since its caller would otherwise wait for its whole timeout.
			write({type: FrameType.Failure, id: call.id, reason: getReason(err)});
		} finally {
			running--;
			if (running === 0) {
				onIdle?.();
			}
		}
	};

	const onMessage = (message: Uint8Array) => {
		lastReceivedAt = clock.now();
		try {
			for (const frame of decodeFrames(message)) {
				if (frame.type === FrameType.Call) {
					void respond(frame);
				}
			}
		} catch {
			channel.terminate();
		}
	};

	const watchIdle = async () => {
		const idleMs = limits.idleMs * IDLE_FACTOR;
		while (!closed.aborted) {
			await clock.sleep(idleMs, closed);
			if (running === 0 && clock.now() >= lastReceivedAt + idleMs) {
				channel.terminate();
			}
		}
	};

	channel.listen({
		onMessage,
		onClose() {
			writer.close();
			closed.abort();
			options.onClose();
		},
	});
	writer.open();
	void watchIdle();

	/**
	 * Guards against a call that is in transit when the link closes: its caller would count it as sent, and not know the outcome of
	 * a write that nobody received. Only the caller knows when every call that it sent has its response, so it closes the link.
	 */
	const waitForCallerClose = async () => clock.sleep(limits.callerCloseMs, closed);

	return {
		async drain() {
			draining = true;
			write({type: FrameType.Leaving, id: 0});
			if (running > 0) {
				const idle = new Promise<void>(resolve => {
					onIdle = resolve;
				});
				await withinMs(clock, limits.drainMs, idle);
			}

			writer.flush();
			await waitForCallerClose();
			writer.flush();
			channel.close();
		},
	};
}

function getReason(err: unknown): string {
	const message = err instanceof Error ? err.message : String(err);
	return message.slice(0, MAX_REASON_LENGTH);
}
