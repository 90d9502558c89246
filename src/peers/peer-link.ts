import type {Clock} from '../time/clock.js';
import {createSleepAlarm} from '../time/sleep-alarm.js';
import {createAwaitedCalls, type AwaitedCall} from './awaited-calls.js';
import {createFrameWriter} from './frame-writer.js';
import {authenticateToAnswerer, type PeerCredentials} from './peer-authentication.js';
import {createCallError, throwPeerBusy} from './peer-errors.js';
import type {PeerFigures} from './peer-figures.js';
import {
	decodeFrames, encodeFrame, FrameType, type AnswerFrame, type FailureFrame, type PeerFrame,
} from './peer-frame.js';
import type {PeerLimits} from './peer-limits.js';
import type {PeerChannel} from './peer-transport.js';

/** A link on which this host calls one peer; the peer's calls come on a link of its own. */
export type PeerLink = {
	/** Calls the peer; rejects with PeerError, whose `sent` tells whether the frame may have reached it. */
	call<T>(kind: string, req: unknown, timeoutMs: number): Promise<T>;
	/** Ends the link in order; calls in flight reject. */
	close(reason: string): void;
};

/** What a link needs. */
export type PeerLinkOptions = {
	/** The peer's `ip:port`. */
	readonly address: string;
	/** A channel to it that is being opened. */
	readonly channel: PeerChannel;
	readonly credentials: PeerCredentials;
	readonly limits: PeerLimits;
	readonly clock: Clock;
	readonly figures: PeerFigures;
	/** Called when the peer takes no more calls: those in flight go on, others are for another link. */
	onLeaving(): void;
	/** Called once when the link has ended. */
	onClose(reason: string): void;
};

const LinkState = {
	Opening: 'opening',
	Open: 'open',
	/** Lasts until all in flight has its answer. */
	Leaving: 'leaving',
	Closed: 'closed',
} as const;

type LinkState = typeof LinkState[keyof typeof LinkState];

/** A link that wakes this much after its time was itself stopped, in milliseconds, so what it heard last proves nothing. */
const OWN_STALL_MS = 500;

/** Opens a link; it takes calls at once and sends them when both ends are authenticated. */
export function openPeerLink(options: PeerLinkOptions): PeerLink {
	const {address, channel, limits, clock, figures} = options;
	const writer = createFrameWriter(channel, limits.maxFrameBytes);
	const awaited = createAwaitedCalls(figures);
	const openBy = clock.now() + limits.openTimeoutMs;
	let state: LinkState = LinkState.Opening;
	/** When something was received last. */
	let heardAt = clock.now();
	/** Since when the peer owes a sign of life: the first call after something was received last; Infinity where it owes none. */
	let owedSince = Infinity;
	let pingedAt = -Infinity;
	let wakeAt = Infinity;
	let sleeper = createSleepAlarm();

	const close = (reason: string, end: () => void) => {
		if (state === LinkState.Closed) {
			return;
		}

		state = LinkState.Closed;
		options.onClose(reason);
		writer.close();
		end();
		sleeper.abort();
		for (const call of awaited.takeAll()) {
			rejectCall(call, reason);
		}
	};

	const rejectCall = (call: AwaitedCall, reason: string) => {
		call.reject(createCallError(address, call.kind, reason, call.written));
	};

	const breakOff = (reason: string) => {
		close(reason, () => {
			channel.terminate();
		});
	};

	const closeInOrder = (reason: string) => {
		close(reason, () => {
			channel.close();
		});
	};

	const open = async () => {
		await channel.opened;
		await authenticateToAnswerer(channel, options.credentials, address);
		if (state === LinkState.Opening) {
			state = LinkState.Open;
			onHeard();
			channel.listen({onMessage, onPong: onHeard, onClose: breakOff});
			writer.open();
			sleeper.abort();
		}
	};

	const onHeard = () => {
		heardAt = clock.now();
		owedSince = awaited.size > 0 ? heardAt : Infinity;
	};

	const isOpen = () => state === LinkState.Open || state === LinkState.Leaving;

	const closeIfLeft = () => {
		if (state === LinkState.Leaving && awaited.size === 0) {
			closeInOrder('the peer takes no more calls');
		}
	};

	const onMessage = (message: Uint8Array) => {
		// A link that was given up may still hand over what it had received: its calls have had their last word.
		if (!isOpen()) {
			return;
		}

		try {
			for (const frame of decodeFrames(message)) {
				onFrame(frame);
			}

			onHeard();
			closeIfLeft();
		} catch (err) {
			breakOff((err as Error).message);
		}
	};

	const onFrame = (frame: PeerFrame) => {
		if (frame.type === FrameType.Call) {
			breakOff('the answering end made a call');
		} else if (frame.type === FrameType.Leaving) {
			state = LinkState.Leaving;
			options.onLeaving();
		} else {
			onAnswer(frame);
		}
	};

	const onAnswer = (frame: AnswerFrame | FailureFrame) => {
		const call = awaited.take(frame.id);
		if (frame.type === FrameType.Answer) {
			call?.resolve(frame.res);
		} else {
			call?.reject(createCallError(address, call.kind, frame.reason, frame.type === FrameType.Failure));
		}
	};

	const expireCalls = (now: number) => {
		for (const call of awaited.takeExpired(now)) {
			rejectCall(call, 'the timeout passed');
		}

		closeIfLeft();
	};

	const checkOpening = (now: number) => {
		if (now >= openBy) {
			breakOff(`not open within ${limits.openTimeoutMs} ms`);
		}

		return openBy;
	};

	/**
	 * Guards against a link that something between the ends has lost track of: nothing is received and no error comes,
	 * so every call on it would wait for its whole timeout. A ping makes a living peer show itself. Calls that have timed
	 * out count as well: a host that asks every 400 ms and waits for 200 ms would never find out by those in flight.
	 */
	const checkSilence = (now: number) => {
		if (now >= wakeAt + OWN_STALL_MS) {
			owedSince = now;
		}

		if (now >= owedSince + limits.silentAfterMs) {
			figures.linksSilent++;
			breakOff(`silent for ${limits.silentAfterMs} ms`);
		} else if (now >= owedSince + limits.pingAfterMs && pingedAt < owedSince) {
			pingedAt = now;
			channel.ping();
		}

		return owedSince + (pingedAt < owedSince ? limits.pingAfterMs : limits.silentAfterMs);
	};

	const checkIdle = (now: number) => {
		if (now >= heardAt + limits.idleMs) {
			closeInOrder('idle');
		}

		return heardAt + limits.idleMs;
	};

	/** Looks after what is due and returns when to look again. */
	const check = (now: number) => {
		expireCalls(now);
		if (state === LinkState.Opening) {
			return Math.min(checkOpening(now), awaited.getNextDeadline());
		}

		return owedSince === Infinity ? checkIdle(now) : Math.min(checkSilence(now), awaited.getNextDeadline());
	};

	const watch = async () => {
		while (state !== LinkState.Closed) {
			const now = clock.now();
			wakeAt = check(now);
			sleeper = createSleepAlarm();
			await clock.sleep(Math.max(1, Math.ceil(wakeAt - now)), sleeper);
		}
	};

	const wakeBy = (at: number) => {
		if (at < wakeAt) {
			wakeAt = at;
			sleeper.abort();
		}
	};

	open().catch((err: unknown) => {
		breakOff((err as Error).message);
	});
	void watch();

	return {
		async call<T>(kind: string, req: unknown, timeoutMs: number) {
			const {bufferedBytes} = writer;
			if (bufferedBytes > limits.maxBufferedBytes) {
				throwPeerBusy(address, bufferedBytes);
			}

			return new Promise<T>((resolve, reject) => {
				const now = clock.now();
				owedSince = Math.min(owedSince, now);
				const call = awaited.add({
					kind, deadlineAt: now + timeoutMs, resolve, reject,
				});
				try {
					const bytes = encodeFrame({
						type: FrameType.Call, id: call.id, kind, req,
					}, limits.maxFrameBytes);
					writer.write({bytes, claim: () => claim(call)});
				} catch (err) {
					awaited.take(call.id)?.reject(createCallError(address, kind, (err as Error).message, false));
					return;
				}

				wakeBy(Math.min(call.deadlineAt, now + limits.pingAfterMs));
			});
		},
		close: closeInOrder,
	};

	/**
	 * Guards against a call that runs after its caller was told that it was never sent: the frame of a call that
	 * timed out while it waited for the link stays behind.
	 */
	function claim(call: AwaitedCall): boolean {
		call.written = awaited.has(call.id);
		return call.written;
	}
}
