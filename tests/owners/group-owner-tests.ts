import {expect} from 'chai';
import {createAdmission} from '../../src/admission/create-admission.js';
import type {GroupFailover, GroupFailoverContext} from '../../src/failover/group-failover.js';
import {groupConfigSchema} from '../../src/groups/group-config.js';
import {createGroupOwner} from '../../src/owners/group-owner.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createInMemoryEndpoints} from '../../src/stand-ins/database/in-memory-endpoints.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

describe('group owner', () => {
	it('reports to failover how long the group has been idle', async () => {
		// Guards against idle groups that are polled as often as busy ones. A busy group that counts as idle would be worse:
		// the loss of its primary is detected a second late. A new owner therefore counts as busy at first, too.
		const clock = createVirtualClock();
		const cfg = groupConfigSchema.parse({
			name: 'nights', endpoints: [{
				name: 'hall-a-1', address: '10.0.0.1:5432', availabilityZone: 'hall-a', connections: 20, slots: 3,
			}],
		});
		let context: GroupFailoverContext | undefined;
		const owner = createGroupOwner({
			clock,
			random: createSeededRandom(1),
			endpoints: createInMemoryEndpoints([], {clock, latencyMs: 1}),
			getGroup: () => ({cfg, version: 1, deleted: false}),
			isEndpointLeaving: () => false,
			createAdmission: ({name, slots}) => createAdmission({
				endpoint: name, slots, owners: 2, shares: cfg.classShares, clock,
			}),
			createFailover(given): GroupFailover {
				context = given;
				return {} as GroupFailover; // eslint-disable-line @typescript-eslint/consistent-type-assertions
			},
		});

		const idle: Array<number | undefined> = [context?.getIdleMs?.(clock.now())];
		await clock.advance(15_000);
		idle.push(context?.getIdleMs?.(clock.now()));
		const end = owner.parts.running.begin('hall-a-1', {what: 'read', requestId: 'night', since: clock.now()});
		await clock.advance(20_000);
		idle.push(context?.getIdleMs?.(clock.now()));
		end();
		idle.push(context?.getIdleMs?.(clock.now()));
		expect(idle).to.deep.equal([0, 15_000, 0, 20_000]);
	});
});
