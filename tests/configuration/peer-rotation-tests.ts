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

	const takeNext = (rotation: ReturnType<typeof createPeerRotation>, count: number, from = usable) =>
		Array.from({length: count}, () => rotation.next(from)!);

	doTest('returns undefined where no address is usable', () => createPeerRotation(createSeededRandom(1)).next([]), undefined);
	doTest('uses four addresses in turn', () => {
		const addresses = takeNext(createPeerRotation(createSeededRandom(1)), 12);
		return [new Set(addresses).size, addresses.slice(0, 4).join(' ') === addresses.slice(4, 8).join(' ')];
	}, [4, true]);
	doTest('replaces a member after some requests', () => new Set(takeNext(createPeerRotation(createSeededRandom(1)), 48)).size, 6);
	doTest('replaces an address that did not respond', () => {
		const rotation = createPeerRotation(createSeededRandom(1));
		const [first] = takeNext(rotation, 1);
		rotation.drop(first!);
		const addresses = takeNext(rotation, 8);
		return [addresses.includes(first!), new Set(addresses).size];
	}, [false, 4]);
	doTest('drops addresses that are no longer usable', () => {
		const rotation = createPeerRotation(createSeededRandom(1));
		takeNext(rotation, 4);
		return new Set(takeNext(rotation, 8, ['h1', 'h2']));
	}, new Set(['h1', 'h2']));
});
