import type {Clock} from '../time/clock.js';
import {createSleepAlarm} from '../time/sleep-alarm.js';
import {createPendingCalls, type PendingCall} from './pending-calls.js';
import {createFrameWriter} from './frame-writer.js';
import {authenticateAsCaller, type PeerCredentials} from './peer-authentication.js';
import {createCallError, throwPeerBusy} from './peer-errors.js';
import type {PeerFigures} from './peer-figures.js';
import {
	decodeFrames, encodeFrame, FrameType, type ResponseFrame, type FailureFrame, type PeerFrame,
} from './peer-frame.js';
import type {PeerLimits} from './peer-limits.js';
import type {PeerChannel} from './peer-transport.js';

/** A link on which this host calls one peer; the peer's calls use a link of their own. */
export type PeerLink = {
	/** Calls the peer; rejects with PeerError, whose `sent` is true if the frame may have reached the peer. */
	call<T>(kind: string, req: unknown, timeoutMs: number): Promise<T>;
	/** Closes the link gracefully; pending calls reject. */
	close(reason: string): void;
};

/** What a link needs. */
export type PeerLinkOptions = {
	/** The peer's `ip:port`. */
	readonly address: string;
	/** The channel to the peer, which is being opened. */
	readonly channel: PeerChannel;
	readonly credentials: PeerCredentials;
	readonly limits: PeerLimits;
	readonly clock: Clock;
	readonly figures: PeerFigures;
	/** Called with the size of each call that is sent, in bytes. */
	onSent(kind: string, bytes: number): void;
	/** Called when the peer takes no more calls: pending calls continue, and later ones need another link. */
	onLeaving(): void;
	/** Called once when the link has closed. */
	onClose(reason: string): void;
};

const LinkState = {
	Opening: 'opening',
	Open: 'open',
	/** The peer takes no more calls; lasts until no call is pending. */
	Leaving: 'leaving',
	Closed: 'closed',
} as const;

type LinkState = typeof LinkState[keyof typeof LinkState];

/** A wake-up that is late by this much, in milliseconds, shows that this process itself stalled, so that the time of the last message proves nothing. */
const OWN_STALL_MS = 500;

/** Opens a link, which takes calls at once and sends them when both ends are authenticated. */
export function openPeerLink(options: PeerLinkOptions): PeerLink {
	const {address, channel, limits, clock, figures} = options;
	const writer = createFrameWriter(channel, limits.maxFrameBytes);
	const pending = createPendingCalls(figures);
	const openBy = clock.now() + limits.openTimeoutMs;
	let state: LinkState = LinkState.Opening;
	/** Time at which something was last received. */
	let lastReceivedAt = clock.now();
	/** Time since which a sign that the peer is alive is due: that of the last receipt while calls are pending, otherwise of the first call after it; Infinity if none is due. */
	let heartbeatDueSince = Infinity;
	let pingedAt = -Infinity;
	let wakeAt = Infinity;
	let wakeAlarm = createSleepAlarm();

	const close = (reason: string, end: () => void) => {
		if (state === LinkState.Closed) {
			return;
		}

		state = LinkState.Closed;
		options.onClose(reason);
		writer.close();
		end();
		wakeAlarm.abort();
		for (const call of pending.takeAll()) {
			rejectCall(call, reason);
		}
	};

	const rejectCall = (call: PendingCall, reason: string) => {
		call.reject(createCallError(address, call.kind, reason, call.written));
	};

	const terminate = (reason: string) => {
		close(reason, () => {
			channel.terminate();
		});
	};

	const closeGracefully = (reason: string) => {
		close(reason, () => {
			channel.close();
		});
	};

	const open = async () => {
		await channel.opened;
		await authenticateAsCaller(channel, options.credentials, address);
		if (state === LinkState.Opening) {
			state = LinkState.Open;
			onReceived();
			channel.listen({onMessage, onPong: onReceived, onClose: terminate});
			writer.open();
			wakeAlarm.abort();
		}
	};

	const onReceived = () => {
		lastReceivedAt = clock.now();
		heartbeatDueSince = pending.size > 0 ? lastReceivedAt : Infinity;
	};

	const isOpen = () => state === LinkState.Open || state === LinkState.Leaving;

	const closeIfDrained = () => {
		if (state === LinkState.Leaving && pending.size === 0) {
			closeGracefully('the peer takes no more calls');
		}
	};

	const onMessage = (message: Uint8Array) => {
		// A closed link may still deliver what it had received, but its calls have been rejected already.
		if (!isOpen()) {
			return;
		}

		try {
			for (const frame of decodeFrames(message)) {
				onFrame(frame);
			}

			onReceived();
			closeIfDrained();
		} catch (err) {
			terminate((err as Error).message);
		}
	};

	const onFrame = (frame: PeerFrame) => {
		if (frame.type === FrameType.Call) {
			terminate('the responder made a call');
		} else if (frame.type === FrameType.Leaving) {
			state = LinkState.Leaving;
			options.onLeaving();
		} else {
			onResponse(frame);
		}
	};

	const onResponse = (frame: ResponseFrame | FailureFrame) => {
		const call = pending.take(frame.id);
		if (frame.type === FrameType.Response) {
			call?.resolve(frame.res);
		} else {
			call?.reject(createCallError(address, call.kind, frame.reason, frame.type === FrameType.Failure));
		}
	};

	const expireCalls = (now: number) => {
		for (const call of pending.takeExpired(now)) {
			rejectCall(call, 'the timeout passed');
		}

		closeIfDrained();
	};

	const checkOpening = (now: number) => {
		if (now >= openBy) {
			terminate(`not open within ${limits.openTimeoutMs} ms`);
		}

		return openBy;
	};

	/**
	 * Guards against a link whose connection was lost silently between the ends: nothing is received and no error occurs,
	 * so every call on it would wait for its whole timeout. A live peer responds to the ping. Calls that have timed
	 * out count as well: a host that calls every 400 ms with a timeout of 200 ms would never detect the loss by pending calls alone.
	 */
	const checkSilence = (now: number) => {
		if (now >= wakeAt + OWN_STALL_MS) {
			heartbeatDueSince = now;
		}

		if (now >= heartbeatDueSince + limits.silentAfterMs) {
			figures.linksSilent++;
			terminate(`silent for ${limits.silentAfterMs} ms`);
		} else if (now >= heartbeatDueSince + limits.pingAfterMs && pingedAt < heartbeatDueSince) {
			pingedAt = now;
			channel.ping();
		}

		return heartbeatDueSince + (pingedAt < heartbeatDueSince ? limits.pingAfterMs : limits.silentAfterMs);
	};

	const checkIdle = (now: number) => {
		if (now >= lastReceivedAt + limits.idleMs) {
			closeGracefully('idle');
		}

		return lastReceivedAt + limits.idleMs;
	};

	/** Performs what is due and returns the time of the next check. */
	const check = (now: number) => {
		expireCalls(now);
		if (state === LinkState.Opening) {
			return Math.min(checkOpening(now), pending.getNextDeadline());
		}

		return heartbeatDueSince === Infinity ? checkIdle(now) : Math.min(checkSilence(now), pending.getNextDeadline());
	};

	const watch = async () => {
		while (state !== LinkState.Closed) {
			const now = clock.now();
			wakeAt = check(now);
			wakeAlarm = createSleepAlarm();
			await clock.sleep(Math.max(1, Math.ceil(wakeAt - now)), wakeAlarm);
		}
	};

	const wakeBy = (at: number) => {
		if (at < wakeAt) {
			wakeAt = at;
			wakeAlarm.abort();
		}
	};

	open().catch((err: unknown) => {
		terminate((err as Error).message);
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
				heartbeatDueSince = Math.min(heartbeatDueSince, now);
				const call = pending.add({
					kind, deadlineAt: now + timeoutMs, resolve, reject,
				});
				try {
					const bytes = encodeFrame({
						type: FrameType.Call, id: call.id, kind, req,
					}, limits.maxFrameBytes);
					writer.write({bytes, claim: () => claim(call, bytes.length)});
				} catch (err) {
					pending.take(call.id)?.reject(createCallError(address, kind, (err as Error).message, false));
					return;
				}

				wakeBy(Math.min(call.deadlineAt, now + limits.pingAfterMs));
			});
		},
		close: closeGracefully,
	};

	/**
	 * Guards against a call that runs although its caller was told that it was never sent: the frame of a call that
	 * timed out while it waited for the link is dropped.
	 */
	function claim(call: PendingCall, bytes: number): boolean {
		call.written = pending.has(call.id);
		if (call.written) {
			options.onSent(call.kind, bytes);
		}

		return call.written;
	}
}
