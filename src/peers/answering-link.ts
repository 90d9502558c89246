import type {Clock} from '../time/clock.js';
import {withinMs} from '../time/deadline.js';
import {createSleepAlarm} from '../time/sleep-alarm.js';
import {createFrameWriter} from './frame-writer.js';
import {authenticateCaller, type PeerCredentials} from './peer-authentication.js';
import {throwNotAuthenticated} from './peer-errors.js';
import {
	decodeFrames, encodeFrame, FrameType, type CallFrame, type PeerFrame,
} from './peer-frame.js';
import type {PeerHandlers} from './peer-handlers.js';
import type {PeerLimits} from './peer-limits.js';
import type {PeerChannel} from './peer-transport.js';
import type {PeerIdentity} from './peers.js';

/** A link on which a peer calls this host. */
export type AnsweringLink = {
	/**
	 * Takes no more calls, lets those being answered end for `drainMs` at most, then waits `callerCloseMs` at most for the caller
	 * to close the link, and ends it.
	 */
	drain(): Promise<void>;
};

/** What an answering link needs. */
export type AnsweringLinkOptions = {
	readonly channel: PeerChannel;
	readonly peer: PeerIdentity;
	readonly handlers: PeerHandlers;
	readonly limits: PeerLimits;
	readonly clock: Clock;
	/** Called once when the link has ended. */
	onClose(): void;
};

/** Characters of an error's message that are passed on. */
const MAX_REASON_LENGTH = 500;

/** The answering end gives an idle link up after this many times the caller's bound, for a caller that died unseen. */
const IDLE_FACTOR = 2;

/** Runs the answerer's part of the handshake within the time for opening. */
export async function authenticateWithin(channel: PeerChannel, credentials: PeerCredentials, limits: PeerLimits, clock: Clock): Promise<PeerIdentity> {
	const outcome = await withinMs(clock, limits.openTimeoutMs, authenticateCaller(channel, credentials));
	return outcome.timedOut ? throwNotAuthenticated(`no proof within ${limits.openTimeoutMs} ms`) : {address: outcome.value};
}

/** Answers the calls that come on an authenticated link. */
export function createAnsweringLink(options: AnsweringLinkOptions): AnsweringLink {
	const {channel, peer, handlers, limits, clock} = options;
	const writer = createFrameWriter(channel, limits.maxFrameBytes);
	const closed = createSleepAlarm();
	let running = 0;
	let draining = false;
	let heardAt = clock.now();
	let onQuiet: (() => void) | undefined;

	const write = (frame: PeerFrame) => {
		// A caller that reads no answers would otherwise fill this host's memory.
		if (writer.bufferedBytes > limits.maxBufferedBytes) {
			channel.terminate();
			return;
		}

		writer.write({bytes: encodeFrame(frame, limits.maxFrameBytes), claim: () => true});
	};

	const answer = async (call: CallFrame) => {
		const handler = draining ? undefined : handlers.get(call.kind);
		if (!handler) {
			const reason = draining ? 'the host ends its links' : 'no handler for this kind of call';
			write({type: FrameType.Refusal, id: call.id, reason});
			return;
		}

		running++;
		try {
			const res = await handler(call.req, peer);
			write({type: FrameType.Answer, id: call.id, res});
		} catch (err) {
			// Also for an answer that cannot be encoded: its caller would wait for its whole timeout.
			write({type: FrameType.Failure, id: call.id, reason: getReason(err)});
		} finally {
			running--;
			if (running === 0) {
				onQuiet?.();
			}
		}
	};

	const onMessage = (message: Uint8Array) => {
		heardAt = clock.now();
		try {
			for (const frame of decodeFrames(message)) {
				if (frame.type === FrameType.Call) {
					void answer(frame);
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
			if (running === 0 && clock.now() >= heardAt + idleMs) {
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
	 * Guards against a call that is on its way when the link ends: its caller would take it for sent, and be left unsure of
	 * a write that nobody read. Only the calling end knows when all it sent has its answer, so it ends the link.
	 */
	const waitForCaller = async () => clock.sleep(limits.callerCloseMs, closed);

	return {
		async drain() {
			draining = true;
			write({type: FrameType.Leaving, id: 0});
			if (running > 0) {
				const quiet = new Promise<void>(resolve => {
					onQuiet = resolve;
				});
				await withinMs(clock, limits.drainMs, quiet);
			}

			writer.flush();
			await waitForCaller();
			writer.flush();
			channel.close();
		},
	};
}

function getReason(err: unknown): string {
	const message = err instanceof Error ? err.message : String(err);
	return message.slice(0, MAX_REASON_LENGTH);
}
