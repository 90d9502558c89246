import {expect} from 'chai';
import type {VersionedGroup} from '../../src/configuration/configuration.js';
import {EndpointRole, type EndpointStatus} from '../../src/endpoints/endpoint.js';
import {createConfirmedSamples, MAX_SAMPLES} from '../../src/groups/confirmed-samples.js';
import {createGroupKnowledge} from '../../src/groups/create-group-knowledge.js';
import {groupConfigSchema} from '../../src/groups/group-config.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';

function createGroup(firstAddress = '127.0.0.1:1'): VersionedGroup {
	const endpoints = ['a', 'b', 'c'].map((name, i) => ({
		name, address: i === 0 ? firstAddress : `127.0.0.1:${i + 1}`, availabilityZone: `hall-${name}`, connections: 20, slots: 3,
	}));
	return {version: 1, cfg: groupConfigSchema.parse({name: 'sleep', endpoints})};
}

function createStatus(term: number, position: number, role: EndpointRole = EndpointRole.Replica, logTerm = term): EndpointStatus {
	return {
		term, role, leaving: false, log: {term: logTerm, position},
	};
}

describe('group knowledge', () => {
	type Seen = [at: number, endpoint: string, status: EndpointStatus];
	const {Primary, Replica} = EndpointRole;

	const doPrimaryTest = (title: string, seen: Seen[], expected: string | undefined, highestTerm: number) => {
		it(title, () => {
			const knowledge = createGroupKnowledge({getGroup: () => createGroup()});
			for (const [at, endpoint, status] of seen) {
				knowledge.observe(endpoint, status, at);
			}

			expect(knowledge.getPrimary()?.name).to.equal(expected);
			expect(knowledge.highestTerm).to.equal(highestTerm);
		});
	};

	doPrimaryTest('has no primary at first', [], undefined, 0);
	doPrimaryTest('returns the endpoint that reports itself as primary', [[1, 'a', createStatus(1, 5, Primary)]], 'a', 1);
	doPrimaryTest('has no primary once a higher promised term was observed', [[1, 'a', createStatus(1, 5, Primary)], [2, 'b', createStatus(2, 5, Replica, 1)]], undefined, 2);
	doPrimaryTest('returns the primary of the highest term', [[1, 'b', createStatus(2, 6, Primary)], [2, 'a', createStatus(1, 9, Primary)]], 'b', 2);
	doPrimaryTest('ignores a late response of a lower term', [[1, 'a', createStatus(2, 5, Replica, 1)], [2, 'a', createStatus(1, 5, Primary)]], undefined, 2);
	doPrimaryTest('ignores a response of the same term observed earlier', [[5, 'a', createStatus(1, 5)], [4, 'a', createStatus(1, 5, Primary)]], undefined, 1);
	doPrimaryTest('ignores an endpoint that is not in the group', [[1, 'z', createStatus(7, 5, Primary)]], undefined, 0);

	it('counts consecutive failures until the next response', () => {
		const knowledge = createGroupKnowledge({getGroup: () => createGroup()});
		knowledge.observe('a', createStatus(1, 5), 10);
		knowledge.observeFailure('a', 9);
		expect(knowledge.get('a')).to.include({failures: 0, seenAt: 10});
		knowledge.observeFailure('a', 20);
		knowledge.observeFailure('a', 30);
		expect(knowledge.get('a')).to.include({failures: 2, seenAt: 10, failingSince: 20});
		knowledge.observe('a', createStatus(1, 5), 40);
		expect(knowledge.get('a')).to.include({failures: 0, seenAt: 40}).and.not.to.have.property('failingSince');
	});

	it('discards the knowledge of a server whose name was given to another address', () => {
		let group = createGroup();
		const knowledge = createGroupKnowledge({getGroup: () => group});
		knowledge.observe('a', createStatus(3, 5, Primary), 10);
		group = createGroup('127.0.0.1:99');
		expect(knowledge.get('a')).to.equal(undefined);
		knowledge.observe('a', createStatus(0, 0), 11);
		expect(knowledge.get('a')?.status?.term).to.equal(0);
	});
});

describe('age of a replica', () => {
	type Confirmed = [at: number, term: number, position: number];

	const doAgeTest = (title: string, confirmed: Confirmed[], log: [term: number, position: number], age: number) => {
		it(title, () => {
			const knowledge = createGroupKnowledge({getGroup: () => createGroup()});
			for (const [at, term, position] of confirmed) {
				knowledge.observeConfirmed(position, term, at);
			}

			knowledge.observe('b', createStatus(log[0], log[1]), 1000);
			expect(knowledge.getAgeMs('b', 1000)).to.equal(age);
		});
	};

	doAgeTest('is unknown without a sample', [], [1, 5], Infinity);
	doAgeTest('is the time since the replica held all that was confirmed', [[100, 1, 5], [200, 1, 6], [300, 1, 7]], [1, 6], 800);
	doAgeTest('counts from the newest sample of an idle primary', [[100, 1, 5], [900, 1, 5]], [1, 5], 100);
	doAgeTest('is unknown if the log ends before every sample', [[100, 1, 5]], [1, 4], Infinity);
	doAgeTest('uses no sample of an older term for a log of a newer one', [[100, 1, 5]], [2, 5], Infinity);
	doAgeTest('uses no sample of a newer term for a log of an older one', [[100, 1, 5], [200, 2, 6]], [1, 900], 900);
	doAgeTest('uses a later, lower sample of the same term', [[100, 1, 9], [200, 1, 4]], [1, 4], 800);
	doAgeTest('uses a sample that arrives after a newer one, at its own time', [[200, 1, 9], [100, 1, 4]], [1, 4], 900);
	doAgeTest('keeps the newer sample if an older one arrives late', [[200, 1, 9], [100, 1, 4]], [1, 9], 800);
	doAgeTest('does not become smaller by a late sample at a further position', [[200, 1, 4], [100, 1, 9]], [1, 9], 800);
	doAgeTest('ignores a late sample of a term that had ended by then', [[100, 2, 6], [300, 2, 8], [200, 1, 7]], [1, 7], Infinity);
	doAgeTest('ignores a late sample of a term that had not begun by then', [[100, 1, 4], [300, 1, 6], [200, 2, 5]], [2, 5], Infinity);

	it('is unknown for an endpoint never observed', () => {
		expect(createGroupKnowledge({getGroup: () => createGroup()}).getAgeMs('b', 1)).to.equal(Infinity);
	});

	it('is the same in whatever order the samples arrive', () => {
		const random = createSeededRandom(1);
		let position = 0;
		const inOrder = Array.from({length: MAX_SAMPLES}, (_, i) => {
			position += Math.floor(random.fraction() * 3);
			return {at: i * 10, log: {term: i < 40 ? 1 : 2, position}};
		});
		const inAnyOrder = inOrder.map(sample => ({sample, lot: random.fraction()})).sort((left, right) => left.lot - right.lot);
		const expected = createConfirmedSamples();
		const found = createConfirmedSamples();
		for (const {at, log} of inOrder) {
			expected.add(log, at);
		}

		for (const {sample} of inAnyOrder) {
			found.add(sample.log, sample.at);
		}

		expect(found.size).to.equal(expected.size);
		for (const {log} of inOrder) {
			expect(found.getHeldAt(log)).to.equal(expected.getHeldAt(log));
		}
	});

	it('is overestimated by at most a sixth over an hour of samples that are limited in number', () => {
		const samples = createConfirmedSamples();
		const end = 3_600_000;
		for (let at = 0; at <= end; at += 5) {
			samples.add({term: 1, position: at}, at);
		}

		expect(samples.size).to.equal(MAX_SAMPLES);
		for (const age of [50, 1000, 20_000, 300_000, 3_000_000]) {
			const held = end - samples.getHeldAt({term: 1, position: end - age})!;
			expect(held, `age ${age}`).to.be.within(age, (age * 7 / 6) + 10);
		}
	});
});
