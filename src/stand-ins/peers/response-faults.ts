import {
	decodeFrames, encodeFrame, FrameType, type PeerFrame,
} from '../../peers/peer-frame.js';
import type {PeerFaults} from './network-wire.js';

/** Drops, duplicates and reorders the responses among the messages of a simulated network; calls are unaffected. */
export type ResponseFaults = {
	/** Returns the messages that are sent in place of a message. */
	apply(direction: string, faults: PeerFaults, message: Uint8Array): readonly Uint8Array[];
};

/** Creates the faults, which keep a response to be reordered until the next one in its direction. */
export function createResponseFaults(): ResponseFaults {
	const heldBack = new Map<string, PeerFrame>();

	const reorder = (direction: string, frame: PeerFrame): readonly PeerFrame[] => {
		const earlier = heldBack.get(direction);
		if (!earlier) {
			heldBack.set(direction, frame);
			return [];
		}

		heldBack.delete(direction);
		return [frame, earlier];
	};

	const replace = (direction: string, faults: PeerFaults, frame: PeerFrame): readonly PeerFrame[] => {
		if (frame.type === FrameType.Call) {
			return [frame];
		}

		if (faults.dropResponses) {
			return [];
		}

		const frames = faults.reorderResponses ? reorder(direction, frame) : [frame];
		return faults.duplicateResponses ? frames.flatMap(each => [each, each]) : frames;
	};

	return {
		apply(direction, faults, message) {
			if (!faults.dropResponses && !faults.duplicateResponses && !faults.reorderResponses) {
				return [message];
			}

			const frames = decodeFramesOrUndefined(message);
			return frames
				? frames.flatMap(frame => replace(direction, faults, frame)).map(frame => encodeFrame(frame, Infinity))
				: [message];
		},
	};
}

/** Decodes a message; undefined for a message of the handshake, which holds no frames. */
function decodeFramesOrUndefined(message: Uint8Array): readonly PeerFrame[] | undefined {
	try {
		return decodeFrames(message);
	} catch {
		return undefined;
	}
}
