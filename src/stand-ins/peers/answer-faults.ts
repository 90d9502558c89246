import {
	decodeFrames, encodeFrame, FrameType, type PeerFrame,
} from '../../peers/peer-frame.js';
import type {PeerFaults} from './network-wire.js';

/** Loses, doubles and crosses the answers among the messages of a simulated network. */
export type AnswerFaults = {
	/** The messages that travel in place of the one sent. */
	apply(direction: string, faults: PeerFaults, message: Uint8Array): readonly Uint8Array[];
};

/** Creates the faults; they remember the answers held back to be crossed. */
export function createAnswerFaults(): AnswerFaults {
	const heldBack = new Map<string, PeerFrame>();

	const cross = (direction: string, frame: PeerFrame): readonly PeerFrame[] => {
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

		if (faults.dropAnswers) {
			return [];
		}

		const frames = faults.crossAnswers ? cross(direction, frame) : [frame];
		return faults.duplicateAnswers ? frames.flatMap(each => [each, each]) : frames;
	};

	return {
		apply(direction, faults, message) {
			if (!faults.dropAnswers && !faults.duplicateAnswers && !faults.crossAnswers) {
				return [message];
			}

			const frames = decodeFramesOrUndefined(message);
			return frames
				? frames.flatMap(frame => replace(direction, faults, frame)).map(frame => encodeFrame(frame, Infinity))
				: [message];
		},
	};
}

/** Messages of a handshake hold no frames. */
function decodeFramesOrUndefined(message: Uint8Array): readonly PeerFrame[] | undefined {
	try {
		return decodeFrames(message);
	} catch {
		return undefined;
	}
}
