import {expect} from 'chai';
import {createCallerTransaction} from '../../src/gateway/caller-transaction.js';
import type {GatewayParts} from '../../src/gateway/gateway-parts.js';
import type {LinkRequest} from '../../src/gateway/acquire-link.js';
import {createQueueTimeout} from '../../src/gateway/queue-timeout.js';
import {runRead} from '../../src/gateway/run-read.js';
import {runWrite} from '../../src/gateway/run-write.js';
import {createSessionMemory} from '../../src/gateway/session-memory.js';
import {createStatementTrace, describeTrace} from '../../src/gateway/statement-trace.js';
import type {StatementResult} from '../../src/gateway/statement-result.js';
import type {AcquireRequest} from '../../src/links/endpoint-pool.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {createPlacementKnowledge} from '../../src/placement/placement-knowledge.js';
import type {ReadEstimates} from '../../src/placement/read-estimates.js';
import type {RegionCrossings} from '../../src/placement/round-trips.js';
import {CompletionTimePlacement} from '../../src/placement/completion-time-placement.js';
import {createRetryBudget} from '../../src/retries/retry-budget.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {ReadPolicy, type Route} from '../../src/routes/routing.js';
import {Access} from '../../src/statements/statement.js';
import {createServiceTime} from '../../src/scheduling/service-time.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import {getFingerprint} from '../../src/workspaces/key-index.js';

const ROUTE: Route = {
	name: 'd', database: 'd', group: 'g', policy: ReadPolicy.Bounded, maxReadAgeMs: 1500, statementTimeoutMs: 800, targetLatencyMs: 200, priority: 2,
};

const REFUSAL = {
	reason: 'the queue is full', retryAfterMs: 730, predictedWaitMs: 912, queued: 9, limit: 4,
};

/** Parts of a gateway whose endpoints' pools refuse every request after 1 ms; `p` is the primary, `r` a replica that holds every floor. */
function makeParts(crossings?: RegionCrossings) {
	const clock = createVirtualClock();
	const elapsed = () => clock.now();
	const asked: string[] = [];
	const requests: AcquireRequest[] = [];
	const lease = {
		group: 'g', primaryId: 'p', epoch: 1, start: {term: 1, position: 0},
	};
	const endpoints = ['p', 'r'].map(id => ({
		entry: {
			id, group: 'g', availabilityZone: `zone-${id}`, slots: 4, leaving: false,
		},
		pool: {
			health: {getSuspicion: () => undefined},
			inUse: 0,
			waiting: 0,
			async acquire(req: AcquireRequest) {
				asked.push(id);
				requests.push(req);
				await clock.sleep(1);
				req.onRefused?.(REFUSAL);
			},
		},
	}));
	const estimates: Partial<ReadEstimates> = {
		getCandidate: ({entry: {id}}) => ({
			endpointId: id, isPrimary: id === 'p', sameZone: true, load: 0, slots: 4, serviceMs: 20, catchUpMs: 0, estimate: {
				roundTripMs: 1, waitMs: 0, serviceMs: 20, openMs: 0, loadAgeMs: 0, isKnown: true, isIdle: id === 'p', share: 1, isTrial: false,
			},
		}),
		getLoad: () => ({
			weight: 1, limit: 4, inFlight: 4, queued: 9, serviceMs: 20, waitMs: 900, ageMs: 0,
		}),
		getUsualMs: () => 20,
		setMembers() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		noteChosen() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	};
	const knowledge = createPlacementKnowledge();
	knowledge.getSamples('g').note(elapsed(), {term: 1, position: 5});
	const parts = {
		clock,
		elapsedClock: {elapsed},
		log: createSilentLog(),
		random: createSeededRandom(1),
		metrics: {countRetry() {}, observeLinkWait() {}}, // eslint-disable-line @typescript-eslint/no-empty-function
		mirror: {partsConfirmedAt: elapsed(), state: {leadership: new Map()}, confirmSoon() {}}, // eslint-disable-line @typescript-eslint/no-empty-function
		primaryLeases: {get: () => lease, changed: async () => clock.sleep(10_000)},
		cutOffs: {isCutOff: () => false},
		directory: {list: () => endpoints, get: (id: string) => endpoints.find(({entry}) => entry.id === id), mayTakeWork: () => true},
		knowledge,
		features: {
			scheduling: {
				capacity: 1, poolHosts: 3, roomFactor: 1.5, leastShare: 0.1,
			},
		},
		operationTimes: createServiceTime(20),
		estimates,
		crossings,
		placement: new CompletionTimePlacement(createSeededRandom(1)),
	} as unknown as GatewayParts;
	const req: LinkRequest = {
		route: ROUTE,
		memory: createSessionMemory('d', getFingerprint('')),
		arrivedAt: elapsed(),
		targetAt: clock.now() + ROUTE.targetLatencyMs,
		until: clock.now() + ROUTE.statementTimeoutMs,
		queueTimeout: createQueueTimeout(ROUTE),
		single: true,
		isWanted: () => true,
		trace: createStatementTrace(),
	};
	return {
		clock, parts, req, asked, requests, budget: createRetryBudget({}, clock.now()),
	};
}

/**
 * A pool knows at once that a request cannot start in time. If the gateway waited on, or told its caller a time of its own, the caller would be refused with no
 * time left for another host, or return while the queue is still full.
 */
describe('a statement that pools refuse at once', () => {
	type Run = (made: ReturnType<typeof makeParts>) => Promise<StatementResult>;
	const single = ({req}: ReturnType<typeof makeParts>, access: Access) => ({id: 's1', statement: {kind: 'run' as const, access, text: 'x'}, req});
	const transaction = async ({parts, req}: ReturnType<typeof makeParts>, readOnly: boolean) => createCallerTransaction({
		parts, beginId: 'b1', readOnly, req,
	}).run('s1', single(makeParts(), Access.Read).statement, req.until);

	function doTest(name: string, run: Run, endpoints: string, reason: string) {
		it(name, async () => {
			const made = makeParts();
			const startedAt = made.clock.now();
			const {end} = await made.clock.runUntil(run(made));
			expect(end).to.deep.include({code: 'overloaded'});
			expect(end.kind === 'error' && end.text).to.match(new RegExp(`^retry-after-ms=730 .*${reason}`, 'v'));
			expect(made.asked.toSorted().join(' ')).to.equal(endpoints);
			expect(made.clock.now() - startedAt).to.be.at.most(20);
			expect(describeTrace(made.req.trace)).to.include({
				queueReason: REFUSAL.reason, predictedWaitMs: 912, retryAfterMs: 730, queued: 9, limit: 4,
			});
			expect(made.requests[0]!.startBy).to.equal(startedAt + ROUTE.targetLatencyMs - 20);
		});
	}

	doTest('is refused with the retry-after of the pool: a read, by all endpoints', async made => runRead(made.parts, made.budget, single(made, Access.Read)), 'p r', 'the read left nothing behind');
	doTest('is refused with the retry-after of the pool: a write, by the primary only', async made => runWrite(made.parts, made.budget, single(made, Access.Write)), 'p', 'the write was not run');
	doTest('is refused with the retry-after of the pool: a transaction that writes', async made => transaction(made, false), 'p', 'nothing ran');
	doTest('is refused with the retry-after of the pool: a transaction that only reads', async made => transaction(made, true), 'p r', 'nothing ran');

	it('takes nothing from the retry budget, since no endpoint was reached', async () => {
		const made = makeParts();
		const {left} = made.budget.getState(made.clock.now());
		await made.clock.runUntil(runRead(made.parts, made.budget, single(made, Access.Read)));
		expect(made.budget.getState(made.clock.now()).left).to.be.at.least(left);
	});

	// The link between the regions is kept for what cannot be served on this side.
	it('is not read in a zone to which no reads may cross, as long as another endpoint can serve it', async () => {
		const made = makeParts({getShare: zone => zone === 'zone-r' ? 0 : 1});
		await made.clock.runUntil(runRead(made.parts, made.budget, single(made, Access.Read)));
		expect(made.asked).to.deep.equal(['p']);
	});
});
