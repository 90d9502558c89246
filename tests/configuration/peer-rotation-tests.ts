import {expect} from 'chai';
import {createPeerRotation} from '../../src/configuration/peer-rotation.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';

const usable = Array.from({length: 20}, (_, index) => `h${index}`);

describe('peer rotation', () => {
	const doTest = (title: string, run: () => unknown, expected: unknown) => {
		it(title, () => {
			expect(run()).to.deep.equal(expected);
		});
	};

	const askTimes = (rotation: ReturnType<typeof createPeerRotation>, count: number, from = usable) =>
		Array.from({length: count}, () => rotation.next(from)!);

	doTest('has none where none is usable', () => createPeerRotation(createSeededRandom(1)).next([]), undefined);
	doTest('asks four in turn', () => {
		const asked = askTimes(createPeerRotation(createSeededRandom(1)), 12);
		return [new Set(asked).size, asked.slice(0, 4).join(' ') === asked.slice(4, 8).join(' ')];
	}, [4, true]);
	doTest('takes another member in now and then', () => new Set(askTimes(createPeerRotation(createSeededRandom(1)), 48)).size, 6);
	doTest('replaces one that did not answer', () => {
		const rotation = createPeerRotation(createSeededRandom(1));
		const [first] = askTimes(rotation, 1);
		rotation.drop(first!);
		const asked = askTimes(rotation, 8);
		return [asked.includes(first!), new Set(asked).size];
	}, [false, 4]);
	doTest('leaves those that are no longer usable', () => {
		const rotation = createPeerRotation(createSeededRandom(1));
		askTimes(rotation, 4);
		return new Set(askTimes(rotation, 8, ['h1', 'h2']));
	}, new Set(['h1', 'h2']));
});
