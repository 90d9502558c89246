import {expect} from 'chai';
import {getFloor, raiseFloor, readSessionHeader} from '../../src/routing/session-floor.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createSignedSessions} from '../../src/sessions/signed-sessions.js';

const KEYS = ['a signing key for this table of tests!!'];
const WALL_MS = 1_767_592_800_000;

describe('session floor', () => {
	const sessions = createSignedSessions({keys: KEYS, random: createSeededRandom(7)});
	const empty = sessions.create(WALL_MS);
	const atFive = sessions.sign(raiseFloor(empty, 'nights', {term: 1, position: 5}, WALL_MS));
	const atNine = sessions.sign(raiseFloor(empty, 'nights', {term: 1, position: 9}, WALL_MS));
	const newTerm = sessions.sign(raiseFloor(empty, 'nights', {term: 2, position: 3}, WALL_MS));
	const other = sessions.sign(raiseFloor(empty, 'filings', {term: 4, position: 1}, WALL_MS));

	const doTest = (title: string, header: string | undefined, expected: string) => {
		it(`${title}: ${expected}`, () => {
			const read = readSessionHeader(header, sessions, WALL_MS);
			const floor = getFloor(read.session, 'nights');
			const requirement = floor ? `floor (${floor.term}, ${floor.position})` : 'barrier';
			expect(read.kind === 'bad' ? 'bad' : requirement).to.equal(expected);
		});
	};

	doTest('no header', undefined, 'barrier');
	doTest('an empty header', '', 'barrier');
	doTest('a new session', 'new', 'floor (0, 0)');
	doTest('a token of a write', atFive, 'floor (1, 5)');
	doTest('a token of a write in another group only', other, 'floor (0, 0)');
	doTest('two tokens', `${atNine}, ${atFive}`, 'floor (1, 9)');
	doTest('two tokens over a promotion', `${atNine},${newTerm}`, 'floor (2, 3)');
	doTest('a token and an invalid one', `${atFive},rubbish`, 'bad');
	doTest('an invalid token', 'rubbish', 'bad');

	/** Guards against a group that is named like a member of every object, which was taken for its floor. */
	it('is the start of the log for a new session, whatever the group is named', () => {
		expect(getFloor(empty, 'constructor')).to.deep.equal({term: 0, position: 0});
	});

	it('is the first write to a group that is named like a member of every object', () => {
		expect(getFloor(raiseFloor(empty, 'constructor', {term: 1, position: 5}, WALL_MS), 'constructor')).to.deep.equal({term: 1, position: 5});
	});
});
