import {expect} from 'chai';
import type {Random} from '../../../src/random/random.js';
import {createSeededRandom} from '../../../src/random/seeded-random.js';
import {createDatabaseGroup, type DatabaseGroup} from '../../../src/stand-ins/database/database-group.js';
import {createDatabaseState, type DatabaseState} from '../../../src/stand-ins/database/database-state.js';
import {createDatabaseTransaction} from '../../../src/stand-ins/database/database-transaction.js';
import type {GroupMember} from '../../../src/stand-ins/database/group-member.js';
import {createRowLocks} from '../../../src/stand-ins/database/row-locks.js';
import {createVirtualClock} from '../../../src/stand-ins/time/virtual-clock.js';

const STEPS = 1500;

const STATEMENTS = [
	'INSERT INTO nights (member, score) VALUES ($1, $2)',
	'UPDATE nights SET score = score + $2 WHERE member = $1',
	'UPDATE nights SET member = \'eve\' WHERE member = $1 AND score = $2',
	'DELETE FROM nights WHERE member = $1 AND score = $2',
	'INSERT INTO rosters (member) VALUES ($1)',
];

const MEMBERS = ['ana', 'ben', 'cleo'];

/** Servers follow, lag and are promoted at random, so that logs diverge and are truncated many times. */
describe('replay of the stand-in log', () => {
	const doTest = (seed: number) => {
		it(`leaves every server in the state that results from its log, seed ${seed}`, async () => {
			const clock = createVirtualClock(0);
			const random = createSeededRandom(seed);
			const group = createDatabaseGroup({addresses: ['a:1', 'b:1', 'c:1'], clock, random});
			const truncations = {count: 0};
			for (let step = 0; step < STEPS; step++) {
				const ends = group.servers.map(({member}) => member.log.end.position);
				takeStep(group, step, random);
				await clock.advance(1);
				truncations.count += group.servers.filter(({member}, i) => member.log.end.position < ends[i]!).length;
			}

			group.stop();
			expect(truncations.count).to.be.greaterThan(10);
			for (const {member} of group.servers) {
				expect(describeState(member.state)).to.deep.equal(describeState(replay(member)));
			}
		});
	};

	for (const seed of [1, 2, 3, 4, 5]) {
		doTest(seed);
	}
});

function pick<T>(items: readonly T[], random: Random): T {
	return items[Math.floor(random.fraction() * items.length)]!;
}

function takeStep({servers}: DatabaseGroup, step: number, random: Random) {
	const server = pick(servers, random);
	const {member} = server;
	const {term} = member.getStatus();
	const kind = random.fraction();
	if (kind < 0.1) {
		server.setReplicationStalled(random.fraction() < 0.6);
	} else if (kind < 0.2) {
		member.fence(step + 2);
		member.promote(step + 2);
	} else if (kind < 0.5) {
		const primary = servers.find(other => other.member.isPrimaryAt(other.member.getStatus().term) && other !== server);
		if (primary) {
			member.follow(primary.member.getStatus().term, primary.address);
		}
	} else if (member.isPrimaryAt(term)) {
		write(member, step, random);
	}
}

function write(member: GroupMember, step: number, random: Random) {
	const transaction = createDatabaseTransaction(member.state, createRowLocks());
	try {
		for (let i = 0; i < 2; i++) {
			transaction.run(pick(STATEMENTS, random), [pick(MEMBERS, random), Math.floor(random.fraction() * 4)]);
		}
	} catch {
		return;
	}

	member.append({
		key: {requestId: `${step}`, record: {kind: 'answer', digest: member.address, rows: []}},
		changes: transaction.getChanges(),
	});
}

function replay({log}: GroupMember) {
	const state = createDatabaseState();
	for (let position = 1; position <= log.end.position; position++) {
		state.apply(log.get(position)!.effect);
	}

	return state;
}

function describeState(state: DatabaseState) {
	const keys = Array.from({length: STEPS}, (_, step) => state.getKey(`${step}`));
	const rows = ['nights', 'rosters'].map(table => state.findRows(table, []).toSorted((left, right) => left.rowId - right.rowId));
	const byMember = [...MEMBERS, 'eve'].map(value => state.findRows('nights', [{column: 'member', value}]).length);
	return {keys, rows, byMember};
}
