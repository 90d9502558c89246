import {expect} from 'chai';
import {EndpointRole} from '../../src/endpoints/endpoint.js';
import {createGroupKnowledge} from '../../src/groups/create-group-knowledge.js';
import {groupConfigSchema, type Durability} from '../../src/groups/group-config.js';
import {PredictedPlacement} from '../../src/owners/predicted-placement.js';
import type {PlacementGroup, ReadNeed} from '../../src/owners/read-placement.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';

/** A position that an endpoint reported: `p` is the primary, and its positions are confirmed at that time. */
type Seen = [at: number, endpoint: string, position: number];

type Situation = {
	readonly seen: readonly Seen[];
	readonly need?: Partial<ReadNeed>;
	/** Predicted wait for a slot by endpoint, in milliseconds. */
	readonly queueMs?: Readonly<Record<string, number>>;
	readonly durability?: Durability;
};

const NOW = 10_000;

function choose({seen, need, queueMs = {}, durability}: Situation): string {
	const endpoints = ['p', 'q', 'r'].map((name, i) => ({
		name, address: `127.0.0.1:${i + 1}`, availabilityZone: 'hall-a', connections: 20, slots: 3,
	}));
	const cfg = groupConfigSchema.parse({name: 'sleep', endpoints, durability});
	const getGroup = () => ({version: 1, cfg});
	const knowledge = createGroupKnowledge({getGroup});
	for (const [at, endpoint, position] of seen) {
		const role = endpoint === 'p' ? EndpointRole.Primary : EndpointRole.Replica;
		knowledge.observe(endpoint, {
			term: 1, role, leaving: false, log: {term: 1, position},
		}, at);
		if (role === EndpointRole.Primary) {
			knowledge.observeConfirmed(position, 1, at);
		}
	}

	const group = {
		knowledge,
		getGroup,
		getParts: (name: string) => ({name, admission: {getPredictedWaitMs: () => queueMs[name] ?? 0}}),
		mayTakeWork: () => true,
	} as unknown as PlacementGroup;
	const choices = new PredictedPlacement(createSeededRandom(1)).choose(group, {
		floor: {term: 1, position: 10}, maxAgeMs: 1000, class: 'interactive', now: NOW, ...need,
	});
	return choices.map(({endpoint, waitMs}) => waitMs > 0 ? `${endpoint.name} in ${waitMs}` : endpoint.name).join(', ');
}

describe('predicted placement', () => {
	const doTest = (title: string, situation: Situation, expected: string) => {
		it(title, () => {
			expect(choose(situation)).to.equal(expected);
		});
	};

	const primary: Seen[] = [[9000, 'p', 5], [9900, 'p', 10], [9990, 'p', 19]];
	const barrier = {floor: {term: 1, position: 19}, barrierAt: 9985};

	doTest('chooses the replica that holds the floor, then the primary', {seen: [...primary, [9980, 'q', 10], [9980, 'r', 4]]}, 'q, p');
	doTest('orders replicas by predicted queue time', {seen: [...primary, [9980, 'q', 10], [9980, 'r', 10]], queueMs: {q: 5}}, 'r, q, p');
	doTest('tries the most advanced replica for an acknowledged write', {seen: [...primary, [9980, 'q', 8], [9980, 'r', 7]]}, 'q, p');
	doTest('does not presume that a replica holds the floor with durability `primary`', {seen: [...primary, [9980, 'q', 8]], durability: 'primary'}, 'p');
	doTest('does not presume that a replica holds the floor of a barrier', {seen: [...primary, [9980, 'q', 6]], need: barrier}, 'p');
	doTest('waits for a replica that is about to hold the floor', {seen: [...primary, [9985, 'q', 18]], need: {...barrier, now: 9990}}, 'q in 5, p');
	doTest('chooses a replica that is predicted to hold the floor by now', {seen: [...primary, [9985, 'q', 18]], need: barrier}, 'q, p');
	doTest('skips a replica that holds the floor only after the maximum wait', {seen: [...primary, [9985, 'q', 10]], need: barrier}, 'p');
	doTest('assumes that the data is as old as when it was seen', {seen: [...primary, [9960, 'q', 10]], need: {maxAgeMs: 70}}, 'q, p');
	doTest('skips a replica whose data was too old when it was seen', {seen: [...primary, [9980, 'q', 10]], need: {maxAgeMs: 70}}, 'p');
	doTest('predicts nothing for a replica that was last seen too long ago', {seen: [[8000, 'p', 10], [8100, 'q', 10], [9990, 'p', 19]], need: {maxAgeMs: 1500}}, 'p');
});
