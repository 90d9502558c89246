import {expect} from 'chai';
import {EndpointRole, type EndpointStatus} from '../../src/endpoints/endpoint.js';
import {DEFAULT_FAILOVER_SETTINGS} from '../../src/failover/failover-settings.js';
import type {GroupControl} from '../../src/failover/group-control.js';
import {createPrimaryWatch} from '../../src/failover/primary-watch.js';
import {createGroupKnowledge} from '../../src/groups/create-group-knowledge.js';
import {groupConfigSchema} from '../../src/groups/group-config.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

describe('delay until the next check of the primary', () => {
	// A lost primary was probed up to 400 ms late: the delay began just before its last status was 200 ms old, and lasted
	// another 200 ms.
	const doTest = (title: string, statusAgeMs: number | undefined, fails: boolean, expected: number) => {
		it(title, () => {
			const clock = createVirtualClock();
			const cfg = groupConfigSchema.parse({
				name: 'filings', endpoints: [{
					name: 'a', address: 'a:1', availabilityZone: 'druzhba', connections: 1, slots: 1,
				}],
			});
			const knowledge = createGroupKnowledge({getGroup: () => ({version: 1, cfg})});
			const status: EndpointStatus = {
				term: 1, log: {term: 1, position: 1}, role: EndpointRole.Primary, leaving: false,
			};
			if (statusAgeMs !== undefined) {
				knowledge.observe('a', status, clock.now() - statusAgeMs);
			}

			if (fails) {
				knowledge.observeFailure('a', clock.now());
			}

			const watch = createPrimaryWatch({
				clock,
				knowledge,
				control: {} as GroupControl, // eslint-disable-line @typescript-eslint/consistent-type-assertions
				settings: DEFAULT_FAILOVER_SETTINGS,
				log: createSilentLog(),
				getCfg: () => cfg,
				setState() {}, // eslint-disable-line @typescript-eslint/no-empty-function
				reachabilityReports: {request: async () => ({confirmed: false, reporters: [], seen: []})},
				getStatus: async () => status,
				getCutOffSince: () => undefined,
			});
			expect(watch.getPollDelayMs(200)).to.equal(expected);
		});
	};

	doTest('ends when the last status reaches the poll interval', 150, false, 50);
	doTest('is a whole interval after a status just now', 0, false, 200);
	doTest('is zero where the last status is too old', 201, false, 0);
	doTest('is a whole interval where the last poll of the primary failed', 150, true, 200);
	doTest('is a whole interval where no primary is known', undefined, false, 200);
});
