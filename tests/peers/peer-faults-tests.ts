import {expect} from 'chai';
import fc from 'fast-check';
import {createPeerNetwork} from '../../src/stand-ins/peers/in-memory-peers.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import {describeOutcome} from './peer-bench.js';

const CALLER = '10.0.0.1:7000';
const RESPONDER = '10.0.0.2:7000';

/** Time within which all calls must end after the last event, in milliseconds. */
const END_MS = 20_000;

/** Creates a caller and a responder, with all events that may happen to them, by name; amounts are from 1 to 2,000. */
function createSystem() {
	const clock = createVirtualClock();
	const network = createPeerNetwork(clock);
	const host = network.addHost(CALLER);
	const ran = new Set<number>();
	const outcomes: Array<Promise<string>> = [];

	const startResponder = () => {
		network.addHost(RESPONDER).handle('echo', async req => {
			ran.add(req as number);
			await clock.sleep(20);
			return {rows: [req, req]};
		});
	};

	startResponder();
	const events = {
		call(amount: number) {
			outcomes.push(describeOutcome(host.call(RESPONDER, 'echo', outcomes.length, amount)));
		},
		async wait(amount: number) {
			await clock.advance(amount);
		},
		async waitBriefly(amount: number) {
			await clock.advance(amount / 50);
		},
		slow(amount: number) {
			network.setFaults(RESPONDER, CALLER, {delayMs: amount / 5});
		},
		cutThere() {
			network.setFaults(CALLER, RESPONDER, {cut: true});
		},
		cutBack() {
			network.setFaults(RESPONDER, CALLER, {cut: true});
		},
		dropResponses() {
			network.setFaults(RESPONDER, CALLER, {dropResponses: true});
		},
		duplicateResponses() {
			network.setFaults(RESPONDER, CALLER, {duplicateResponses: true});
		},
		reorderResponses() {
			network.setFaults(RESPONDER, CALLER, {reorderResponses: true, duplicateResponses: true});
		},
		pause() {
			network.pause(RESPONDER);
		},
		resume() {
			network.resume(RESPONDER);
		},
		heal() {
			network.heal();
		},
		restart() {
			network.kill(RESPONDER);
			startResponder();
		},
	};

	return {
		clock, ran, outcomes, events,
	};
}

type EventName = keyof ReturnType<typeof createSystem>['events'];

const eventNames = Object.keys(createSystem().events) as EventName[];
const weighted = fc.oneof({arbitrary: fc.constantFrom<EventName>('call', 'waitBriefly'), weight: 2}, {arbitrary: fc.constantFrom(...eventNames), weight: 1});

describe('peer links under combinations of faults', () => {
	// Guards against combinations of faults in which a caller sees another caller's rows, or a write runs twice.
	// A call must end with its own complete response or an error, and a call that is reported as not sent must never have run.
	it('give each call its own response or a correct error', async () => {
		const seen = {answered: 0, sent: 0, unsent: 0};
		await fc.assert(fc.asyncProperty(fc.array(fc.tuple(weighted, fc.integer({min: 1, max: 2000})), {minLength: 10, maxLength: 60, size: 'max'}), async schedule => {
			const {clock, ran, outcomes, events} = createSystem();
			for (const [name, amount] of schedule) {
				await events[name](amount);
			}

			events.resume();
			const ended = await clock.runUntil(Promise.all(outcomes), END_MS);
			await clock.advance(END_MS);
			for (const [req, outcome] of ended.entries()) {
				if (outcome.startsWith('sent false')) {
					seen.unsent++;
					expect(ran.has(req), `${req} ran, but ${outcome}`).to.equal(false);
				} else if (outcome.startsWith('sent true')) {
					seen.sent++;
				} else {
					seen.answered++;
					expect(outcome).to.equal(JSON.stringify({rows: [req, req]}));
				}
			}
		}), {numRuns: 200, seed: 1});
		expect(Math.min(seen.answered, seen.sent, seen.unsent), JSON.stringify(seen)).to.be.above(100);
	});
});
