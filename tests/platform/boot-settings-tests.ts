import {expect} from 'chai';
import {parseBootSettings} from '../../src/platform/boot-settings.js';

const GOOD = `nodeName=front-a-1
zone=hall-a
ip=10.1.0.8
listen.front=10.1.0.8:8784
listen.readiness=10.1.0.8:8785
listen.control=10.1.0.8:8782
portRange=7440,7455
seeds=10.1.0.8:8782,10.2.0.6:8782
platform.address=10.200.1.7:8783
cloud.address=10.200.0.160:8783
bounds.graceS=6
something.new=1
`;

describe('boot settings', () => {
	it('parses the fields that the platform writes and ignores unknown ones', () => {
		expect(parseBootSettings(GOOD)).to.deep.equal({
			hostName: 'front-a-1',
			availabilityZone: 'hall-a',
			callerAddress: '10.1.0.8:8784',
			readinessAddress: '10.1.0.8:8785',
			peerAddress: '10.1.0.8:8782',
			seeds: ['10.1.0.8:8782', '10.2.0.6:8782'],
			storeAddress: '10.200.1.7:8783',
			ordersAddress: '10.200.0.160:8783',
			graceMs: 6000,
			revokeWithinMs: undefined,
			maxRoutingAgeMs: undefined,
			maxLeavingMs: undefined,
			zoneRegions: {},
			isContended: false,
			capacity: 1,
		});
	});

	it('parses regions, the capacity of the host and whether callers compete', () => {
		const {zoneRegions, capacity, isContended} = parseBootSettings(`${GOOD}zones.hall-a=north\nzones.hall-b=south\nlimits.cpuShare=0.675\nlimits.cores=2\ncontracts=base,pressure,sql\n`);
		expect({zoneRegions, capacity, isContended}).to.deep.equal({zoneRegions: {'hall-a': 'north', 'hall-b': 'south'}, capacity: 1.35, isContended: true});
	});

	it('takes the time after which a leaving endpoint gets no new work from bounds.drainMs', () => {
		expect(parseBootSettings(`${GOOD}bounds.drainMs=7000\n`).maxLeavingMs).to.equal(7000);
	});

	it('bounds the age of a configuration by the time to have one in force and what the store may add to it', () => {
		expect(parseBootSettings(`${GOOD}bounds.configApplyMs=3000\nbounds.maxSkewMs=12000\n`).maxRoutingAgeMs).to.equal(15_000);
		expect(parseBootSettings(`${GOOD}bounds.configApplyMs=3000\n`).maxRoutingAgeMs).to.equal(3000);
		expect(parseBootSettings(`${GOOD}bounds.maxSkewMs=12000\n`).maxRoutingAgeMs).to.equal(undefined);
	});

	it('takes the bound on revocation only if bounds.revokeStrict is true', () => {
		expect(parseBootSettings(`${GOOD}bounds.revokeStrict=true\nbounds.revokeMs=5000\n`).revokeWithinMs).to.equal(5000);
		expect(parseBootSettings(`${GOOD}bounds.revokeStrict=false\nbounds.revokeMs=5000\n`).revokeWithinMs).to.equal(undefined);
	});

	it('takes the first port of the range as the peer port if no control address is given', () => {
		expect(parseBootSettings(GOOD.replace(/listen\.control=.*\n/v, '')).peerAddress).to.equal('10.1.0.8:7440');
	});

	function doTest(name: string, change: (text: string) => string, message: RegExp) {
		it(name, () => {
			expect(() => parseBootSettings(change(GOOD))).to.throw(message);
		});
	}

	doTest('names a missing field', text => text.replace(/zone=.*\n/v, ''), /zone is wrong/v);
	doTest('names an invalid address', text => text.replace('10.1.0.8:8784', 'localhost'), /listen\.front is wrong: must be ip:port/v);
	doTest('names an invalid number', text => text.replace('graceS=6', 'graceS=soon'), /bounds\.graceS is wrong/v);
	doTest('quotes a line without a name and a value', text => `${text}nonsense\n`, /no name and value: nonsense/v);
	doTest('names every invalid field at once', text => text.replace(/zone=.*\n/v, '').replace('graceS=6', 'graceS=0'), /zone is wrong.*; bounds\.graceS is wrong/v);
	doTest('names a bound on leaving that is no time', text => `${text}bounds.drainMs=-1\n`, /bounds\.drainMs is wrong/v);
	doTest('names a bound on the configuration that is no time', text => `${text}bounds.configApplyMs=soon\n`, /bounds\.configApplyMs is wrong/v);
	doTest('names a field with an unknown choice', text => `${text}bounds.revokeStrict=maybe\n`, /bounds\.revokeStrict is wrong: must be true or false/v);
	doTest('rejects an empty file', () => '', /nodeName is wrong/v);
});
