import {expect} from 'chai';
import fc from 'fast-check';
import {createPeerNetwork} from '../../src/stand-ins/peers/in-memory-peers.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import {describeOutcome} from './peer-bench.js';

const CALLER = '10.0.0.1:7000';
const ANSWERER = '10.0.0.2:7000';

/** How long everything is given to come to an end, in milliseconds. */
const END_MS = 20_000;

/** A caller and an answerer, with all that may happen to them, by name; amounts are from 1 to 2,000. */
function createScene() {
	const clock = createVirtualClock();
	const network = createPeerNetwork(clock);
	const host = network.addHost(CALLER);
	const ran = new Set<number>();
	const outcomes: Array<Promise<string>> = [];

	const startAnswerer = () => {
		network.addHost(ANSWERER).handle('echo', async req => {
			ran.add(req as number);
			await clock.sleep(20);
			return {rows: [req, req]};
		});
	};

	startAnswerer();
	const events = {
		call(amount: number) {
			outcomes.push(describeOutcome(host.call(ANSWERER, 'echo', outcomes.length, amount)));
		},
		async wait(amount: number) {
			await clock.advance(amount);
		},
		async waitBriefly(amount: number) {
			await clock.advance(amount / 50);
		},
		slow(amount: number) {
			network.setFaults(ANSWERER, CALLER, {delayMs: amount / 5});
		},
		cutThere() {
			network.setFaults(CALLER, ANSWERER, {cut: true});
		},
		cutBack() {
			network.setFaults(ANSWERER, CALLER, {cut: true});
		},
		dropAnswers() {
			network.setFaults(ANSWERER, CALLER, {dropAnswers: true});
		},
		duplicateAnswers() {
			network.setFaults(ANSWERER, CALLER, {duplicateAnswers: true});
		},
		crossAnswers() {
			network.setFaults(ANSWERER, CALLER, {crossAnswers: true, duplicateAnswers: true});
		},
		pause() {
			network.pause(ANSWERER);
		},
		resume() {
			network.resume(ANSWERER);
		},
		heal() {
			network.heal();
		},
		restart() {
			network.kill(ANSWERER);
			startAnswerer();
		},
	};

	return {
		clock, ran, outcomes, events,
	};
}

type EventName = keyof ReturnType<typeof createScene>['events'];

const eventNames = Object.keys(createScene().events) as EventName[];
const weighted = fc.oneof({arbitrary: fc.constantFrom<EventName>('call', 'waitBriefly'), weight: 2}, {arbitrary: fc.constantFrom(...eventNames), weight: 1});

describe('peer links under any faults together', () => {
	// A coach sees another member's nights, or a filing posts twice: faults come together in an order nobody thought of.
	// A call must end with its own whole answer or an error, and what was told never to have been sent never ran.
	it('give each call its own answer or a true error', async () => {
		const seen = {answered: 0, sent: 0, unsent: 0};
		await fc.assert(fc.asyncProperty(fc.array(fc.tuple(weighted, fc.integer({min: 1, max: 2000})), {minLength: 10, maxLength: 60, size: 'max'}), async happenings => {
			const {clock, ran, outcomes, events} = createScene();
			for (const [name, amount] of happenings) {
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
