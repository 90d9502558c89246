import {expect} from 'chai';
import {fitsInFrame} from '../../src/connection-sharing/frame-room.js';
import {encodeFrame, FrameType} from '../../src/peers/peer-frame.js';
import {DEFAULT_PEER_LIMITS} from '../../src/peers/peer-limits.js';

const {maxFrameBytes} = DEFAULT_PEER_LIMITS;

/** Returns the largest number of such texts that fits. */
function getMaxCount(text: string): number {
	let low = 0;
	let high = Math.ceil(maxFrameBytes / text.length);
	while (low < high) {
		const count = Math.ceil((low + high) / 2);
		if (fitsInFrame(Array.from({length: count}, () => text))) {
			low = count;
		} else {
			high = count - 1;
		}
	}

	return low;
}

describe('the room in a frame', () => {
	/** A text that was taken to fit and is not sent marks the pool host as unreachable; one that is refused needlessly fails its caller. */
	function doTest(name: string, text: string) {
		it(`is what a frame can hold, up to the reserve, of ${name}`, () => {
			const count = getMaxCount(text);
			const {length} = encodeFrame({type: FrameType.Response, id: 1, res: {rows: Array.from({length: count}, () => text)}}, maxFrameBytes);
			expect(length).to.be.within(maxFrameBytes - 70_000 - (text.length * 2), maxFrameBytes);
		});
	}

	doTest('short texts', 'x'.repeat(20));
	doTest('texts of 31 characters and 62 bytes', '\u00FF'.repeat(31));
	doTest('texts of 255 bytes', 'x'.repeat(255));
	doTest('texts of 256 bytes', '\u00FF'.repeat(128));
	doTest('texts of 65,534 bytes', '\u00FF'.repeat(32_767));
	doTest('texts of 65,536 bytes', '\u00FF'.repeat(32_768));
	doTest('texts of 700,000 bytes', '\u00FF'.repeat(350_000));
});
