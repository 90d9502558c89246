import {Packr, Unpackr} from 'msgpackr';
import {throwFrameMalformed, throwFrameTooLarge} from './peer-errors.js';

/** The types of frames on an authenticated link. */
export const FrameType = {
	/** A request to the peer. */
	Call: 1,
	/** The handler's response. */
	Response: 2,
	/** The handler rejected, and may have acted. */
	Failure: 3,
	/** The call was not handed to any handler. */
	Refusal: 4,
	/** The responder takes no more calls and waits for the caller to close the link. */
	Leaving: 5,
} as const;

/** One of the types in {@link FrameType}. */
export type FrameType = typeof FrameType[keyof typeof FrameType];

/** A request; its id is unique on its link. */
export type CallFrame = {
	readonly type: typeof FrameType.Call;
	readonly id: number;
	readonly kind: string;
	readonly req: unknown;
};

/** The response to the call with the same id. */
export type ResponseFrame = {
	readonly type: typeof FrameType.Response;
	readonly id: number;
	readonly res: unknown;
};

/** The reason why the call with the same id has no response. */
export type FailureFrame = {
	readonly type: typeof FrameType.Failure | typeof FrameType.Refusal;
	readonly id: number;
	readonly reason: string;
};

/** Notice of a stop, which belongs to no call: its id is 0, which no call has. */
export type LeavingFrame = {
	readonly type: typeof FrameType.Leaving;
	readonly id: 0;
};

/** A frame on an authenticated link. */
export type PeerFrame = CallFrame | ResponseFrame | FailureFrame | LeavingFrame;

// Record definitions shared by a whole link would save a fifth of a call's time, but a frame that was encoded and then dropped would
// take definitions that later frames need with it.
const packr = new Packr({useRecords: false, variableMapSize: true});
const unpackr = new Unpackr({useRecords: false});

/** Encodes a frame; throws PeerError (`sent: false`) if it exceeds `maxBytes`. */
export function encodeFrame(frame: PeerFrame, maxBytes: number): Uint8Array {
	const bytes = packr.pack(frame);
	if (bytes.length > maxBytes) {
		throwFrameTooLarge(bytes.length, maxBytes);
	}

	return bytes;
}

/** Decodes a message of one or more consecutive frames; throws PeerError if it holds anything else. */
export function decodeFrames(message: Uint8Array): readonly PeerFrame[] {
	const frames = unpackr.unpackMultiple(message) as unknown[];
	if (!frames.every(frame => isPeerFrame(frame))) {
		throwFrameMalformed();
	}

	return frames as PeerFrame[];
}

function isPeerFrame(value: unknown): boolean {
	const frame = value as Partial<PeerFrame> | undefined;
	return typeof frame?.type === 'number' && typeof frame.id === 'number';
}
