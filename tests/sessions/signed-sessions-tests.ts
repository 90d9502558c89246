import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import fc from 'fast-check';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {withFloor, type Session} from '../../src/sessions/session.js';
import {createSignedSessions, MAX_TOKEN_LENGTH} from '../../src/sessions/signed-sessions.js';

const OLD_KEY = 'o'.repeat(32);
const NEW_KEY = 'n'.repeat(32);
const OTHER_KEY = 'x'.repeat(32);

const createSessions = (...keys: string[]) => createSignedSessions({keys, random: createSeededRandom(1)});

const session: Session = {
	id: 's1',
	issuedAt: 1_767_592_800_000,
	floors: {sleep: {term: 3, position: 9_007_199_254_740_991}, filings: {term: 0, position: 0}},
};

describe('signed sessions', () => {
	const sessions = createSessions(OLD_KEY);
	const token = sessions.sign(session);
	const bytes = Buffer.from(token, 'base64url');

	it('reads back what it signed', () => {
		expect(sessions.verify(token)).to.deep.equal(session);
		const floors = fc.dictionary(fc.stringMatching(/^[a-z][-a-z\d]{0,20}$/u), fc.record({term: fc.maxSafeNat(), position: fc.maxSafeNat()}), {maxKeys: 8, noNullPrototype: true});
		fc.assert(fc.property(floors, floors => {
			expect(sessions.verify(sessions.sign({...session, floors}))).to.deep.equal({...session, floors});
		}), {seed: 1, numRuns: 200});
	});

	it('creates each session with a different id', () => {
		const first = sessions.create(1000.5);
		expect(first).to.deep.include({issuedAt: 1000, floors: {}});
		expect(first.id).to.match(/^[\da-f]{24}$/v).and.not.equal(sessions.create(1000).id);
	});

	describe('an invalid token', () => {
		const doTest = (title: string, forged: string) => {
			it(title, () => {
				expect(sessions.verify(forged)).to.equal(undefined);
			});
		};

		doTest('nothing', '');
		doTest('text', 'hello');
		doTest('too long', 'a'.repeat(MAX_TOKEN_LENGTH + 1));
		doTest('a signature alone', bytes.subarray(-32).toString('base64url'));
		doTest('a body without a signature', bytes.subarray(0, -32).toString('base64url'));
		doTest('a token with characters that the decoder skips', `${token}!`);
		doTest('a token of another key', createSessions(OTHER_KEY).sign(session));
		doTest('a token with bytes after it', Buffer.concat([bytes, Buffer.from([0])]).toString('base64url'));
		const nextVersion = Buffer.from(bytes);
		nextVersion[0] = 2;
		doTest('another version', nextVersion.toString('base64url'));
	});

	it('rejects a token with any one character changed, or cut at any length', () => {
		for (let index = 0; index < token.length; index++) {
			const character = token[index] === 'A' ? 'B' : 'A';
			expect(sessions.verify(token.slice(0, index) + character + token.slice(index + 1)), `character ${index}`).to.equal(undefined);
			expect(sessions.verify(token.slice(0, index)), `cut at ${index}`).to.equal(undefined);
		}
	});

	describe('a key rotation', () => {
		const doTest = (title: string, signer: string[], reader: string[], accepted: boolean) => {
			it(title, () => {
				const verified = createSessions(...reader).verify(createSessions(...signer).sign(session));
				expect(verified !== undefined).to.equal(accepted);
			});
		};

		doTest('a token of the previous key is still valid', [OLD_KEY], [NEW_KEY, OLD_KEY], true);
		doTest('a token of the next key is valid at a host that has that key in second place', [NEW_KEY, OLD_KEY], [OLD_KEY, NEW_KEY], true);
		doTest('a token of a removed key is no longer valid', [OLD_KEY], [NEW_KEY], false);
	});

	// A session writes to more groups than a token holds, so the floor of the first group is left out. Another host must not
	// take this to mean that the session never wrote to that group: its next read there would return old data.
	it('leaves out the oldest floors, sets the flag, and stays within its bound', () => {
		let wide: Session = {...session, floors: {}};
		const first = `a${'-x'.repeat(31)}`;
		for (let index = 0; index < 60; index++) {
			wide = withFloor(wide, index === 0 ? first : `group-${index}-${'y'.repeat(20)}`, {term: 1, position: index});
		}

		const cut = sessions.sign(wide);
		expect(cut.length).to.be.at.most(MAX_TOKEN_LENGTH);
		const read = sessions.verify(cut)!;
		const kept = Object.keys(read.floors);
		expect(kept).to.deep.equal(Object.keys(wide.floors).slice(-kept.length));
		expect(kept.length).to.be.within(30, 59);
		expect(read.trimmed).to.equal(true);
		expect(sessions.verify(sessions.sign({...read, floors: {}}))!.trimmed).to.equal(true);

		const renewed = withFloor(wide, first, {term: 1, position: 99});
		expect(sessions.verify(sessions.sign(renewed))!.floors[first]).to.deep.equal({term: 1, position: 99});
	});

	it('never lowers a floor', () => {
		const raised = withFloor(session, 'sleep', {term: 2, position: 5});
		expect(raised.floors.sleep).to.deep.equal(session.floors.sleep);
	});
});
