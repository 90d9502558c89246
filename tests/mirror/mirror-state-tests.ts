import {expect} from 'chai';
import fc from 'fast-check';
import {decodeHosts, decodeLeadership} from '../../src/mirror/mirror-state.js';

/*
 * Another program overwrites a group's record in the store. A host that throws on it can no longer read anything and refuses all callers; one that ignores the
 * record writes a first one while other hosts still use the old primary; and one that treats it as an error leaves the group without a primary forever.
 */

const GOOD = {
	group: 'nights', primaryId: 'i-1', term: 3, epoch: 5, phase: 'steady', start: {term: 3, position: 17}, changedBy: 'entry-1',
};

describe('records that another program overwrote', () => {
	it('a group\'s record is decoded as an unfinished change, in a later epoch than any before', () => {
		const {leadership} = decodeLeadership([{name: 'group.nights', version: 90, value: {...GOOD, epoch: 'five'}}]);
		expect(leadership.get('nights')).to.include({phase: 'changing', epoch: 90, version: 90});
	});

	it('a record under another group\'s name is not taken for the group that it holds', () => {
		const {leadership} = decodeLeadership([{name: 'group.days', version: 90, value: GOOD}]);
		expect([...leadership.keys()]).to.deep.equal(['days']);
		expect(leadership.get('days')?.phase).to.equal('changing');
	});

	it('the failover lease is held by an unknown host, under a later token than any before', () => {
		expect(decodeLeadership([{name: 'duty', version: 90, value: 'mine'}]).duty).to.include({token: 90, holder: 'unreadable'});
	});

	it('a host\'s record is decoded as an unresponsive host, which may be alive and is not polled', () => {
		expect(decodeHosts([{name: 'entry-1', version: 90, value: {name: 'entry-1'}}])[0]).to.include({name: 'entry-1', gone: true, version: 90});
	});

	it('do not affect other records, whatever they hold', () => {
		fc.assert(fc.property(fc.jsonValue(), fc.string(), (value, name) => {
			const records = [{name, version: 3, value}, {name: 'group.nights', version: 4, value: GOOD}];
			const host = {name: 'entry-1', peerAddress: '10.1.0.1:7000', availabilityZone: 'hall-a'};
			expect(decodeLeadership(records).leadership.get('nights')?.primaryId).to.equal('i-1');
			expect(decodeHosts([{name, version: 3, value}, {name: 'entry-1', version: 4, value: host}])[1]?.peerAddress).to.equal('10.1.0.1:7000');
		}), {seed: 7});
	});
});
