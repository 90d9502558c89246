import {expect} from 'chai';
import type {LinkRequest} from '../../src/gateway/acquire-link.js';
import type {GatewayParts} from '../../src/gateway/gateway-parts.js';
import {createQueueTimeout} from '../../src/gateway/queue-timeout.js';
import {runRead} from '../../src/gateway/run-read.js';
import {createSessionMemory} from '../../src/gateway/session-memory.js';
import {createStatementTrace} from '../../src/gateway/statement-trace.js';
import type {EndpointRequest} from '../../src/links/endpoint-link.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import type {ReadCandidate} from '../../src/placement/choose-endpoint.js';
import {createPlacementKnowledge} from '../../src/placement/placement-knowledge.js';
import {createRetryBudget} from '../../src/retries/retry-budget.js';
import {ReadPolicy, type Route} from '../../src/routes/routing.js';
import {createServiceTime} from '../../src/scheduling/service-time.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import {Access, SessionState} from '../../src/statements/statement.js';
import {AnswerCode, type EndpointAnswer} from '../../src/statements/statement-answer.js';
import {getFingerprint} from '../../src/workspaces/key-index.js';

const ROUTE: Route = {
	name: 'd', database: 'd', group: 'g', policy: ReadPolicy.Bounded, maxReadAgeMs: 1500, statementTimeoutMs: 800, targetLatencyMs: 200, priority: 2,
};

const DONE: EndpointAnswer = {rows: ['7'], end: {kind: 'complete', signature: 'signed'}, state: SessionState.Idle};
const TOO_LARGE: EndpointAnswer = {
	rows: [], end: {kind: 'error', code: AnswerCode.TooLarge, text: 'nothing ran'}, state: SessionState.Idle, unsent: true,
};

/** Runs a read for which two replicas are chosen before the primary `p`; they give this answer, and the primary completes it. */
async function readAtReplicas(answer: EndpointAnswer) {
	const clock = createVirtualClock();
	const asked: string[] = [];
	const ignore = () => undefined;
	const lease = {
		group: 'g', primaryId: 'p', epoch: 1, start: {term: 1, position: 0},
	};
	const endpoints = ['r1', 'r2', 'p'].map(id => ({
		entry: {
			id, group: 'g', availabilityZone: 'z', slots: 4, leaving: false,
		},
		pool: {
			health: {getSuspicion: ignore},
			inUse: 0,
			waiting: 0,
			acquire: async () => ({
				async exchange({floor}: EndpointRequest) {
					asked.push(id);
					return floor ? answer : DONE;
				},
				link: {cut: ignore},
			}),
			release: ignore,
		},
	}));
	const knowledge = createPlacementKnowledge();
	knowledge.getSamples('g').note(clock.now(), {term: 1, position: 5});
	for (const {entry} of endpoints) {
		knowledge.getStats(entry.id).noteHeld(clock.now(), {term: 1, position: 5});
	}

	const parts = {
		clock,
		elapsedClock: {elapsed: () => clock.now()},
		log: createSilentLog(),
		metrics: {countRetry: ignore, countRead: ignore, observeLinkWait: ignore},
		mirror: {partsConfirmedAt: clock.now(), state: {leadership: new Map()}, confirmSoon: ignore},
		primaryLeases: {get: () => lease, holds: () => true, changed: async () => clock.sleep(10_000)},
		primaryWork: {begin: () => ignore},
		directory: {list: () => endpoints, get: (id: string) => endpoints.find(({entry}) => entry.id === id), mayTakeWork: () => true},
		knowledge,
		features: {},
		operationTimes: createServiceTime(20),
		placement: {choose: ([first]: readonly ReadCandidate[]) => first},
	} as unknown as GatewayParts;
	const req: LinkRequest = {
		route: ROUTE,
		memory: createSessionMemory('d', getFingerprint('')),
		arrivedAt: clock.now(),
		targetAt: clock.now() + ROUTE.targetLatencyMs,
		until: clock.now() + ROUTE.statementTimeoutMs,
		queueTimeout: createQueueTimeout(ROUTE),
		single: true,
		isWanted: () => true,
		trace: createStatementTrace(),
	};
	const {end} = await clock.runUntil(runRead(parts, createRetryBudget({}, clock.now()), {id: 's1', statement: {kind: 'run', access: Access.Read, text: 'x'}, req}));
	return {outcome: end.kind === 'error' ? end.code : 'done', asked};
}

describe('a read that is too large', () => {
	/** Without the position, the primary can run it. */
	it('goes on to the primary where it is too large only with its log position', async () => {
		expect(await readAtReplicas({...TOO_LARGE, fitsWithoutFloor: true})).to.deep.equal({outcome: 'done', asked: ['r1', 'r2', 'p']});
	});

	/** It was tried at each endpoint in turn, where it is too large as well. */
	it('is refused at once where it, or its rows, are too large between hosts', async () => {
		expect(await readAtReplicas(TOO_LARGE)).to.deep.equal({outcome: 'too-large', asked: ['r1']});
	});
});
