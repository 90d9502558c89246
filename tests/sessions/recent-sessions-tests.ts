import {expect} from 'chai';
import {createRecentSessions} from '../../src/sessions/recent-sessions.js';

describe('recent sessions', () => {
	it('keep a bounded number of sessions, the one seen last first', () => {
		const recentSessions = createRecentSessions(2);
		const note = (id: string, at: number) => {
			recentSessions.note({
				session: {id, issuedAt: 0, floors: {nights: {term: 1, position: at}}}, group: 'nights', requestId: `r${at}`, at,
			});
		};

		note('a', 1);
		note('b', 2);
		note('a', 3);
		note('c', 4);
		expect(recentSessions.getAll().map(({id, seenAt}) => [id, seenAt])).to.deep.equal([['c', 4], ['a', 3]]);
		expect(recentSessions.get('a')).to.deep.equal({
			id: 'a', group: 'nights', requestId: 'r3', seenAt: 3, floors: {nights: {term: 1, position: 3}},
		});
		expect(recentSessions.get('b')).to.equal(undefined);
	});
});
