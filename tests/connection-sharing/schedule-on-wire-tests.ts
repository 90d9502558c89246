import {expect} from 'chai';
import {CheckoutRefusal, getScheduleOnWire} from '../../src/connection-sharing/checkout-calls.js';
import {createRemoteRead} from '../../src/connection-sharing/remote-read.js';
import type {AcquireRequest, QueueRefusal} from '../../src/links/endpoint-pool.js';
import {createUnreachableHosts} from '../../src/membership/unreachable-hosts.js';
import type {Peers} from '../../src/peers/peers.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

const REQUEST: AcquireRequest = {
	priority: 1, until: 1600, values: new Map(), single: true, read: {},
};

const QUEUE: QueueRefusal = {reason: 'the queue is long', retryAfterMs: 320, predictedWaitMs: 700};

describe('the schedule of a request between hosts', () => {
	/** The hosts' steady clocks have nothing in common, so a time of one means nothing to another. */
	it('is sent with a relative time', () => {
		expect(getScheduleOnWire({
			...REQUEST, startBy: 1300, weight: 0.5, statement: 'r_a',
		}, 1000)).to.deep.equal({startInMs: 300, weight: 0.5, statement: 'r_a'});
	});

	it('adds nothing to the message without scheduling', () => {
		expect(getScheduleOnWire(REQUEST, 1000)).to.deep.equal({});
	});

	/** A pool host knows that the read cannot start in time. Asked again, or asked elsewhere for the same endpoint, it would say so again until the caller's time is over. */
	it('has a read end at once where a pool host refuses it as hopeless', async () => {
		const clock = createVirtualClock(1000);
		const called: string[] = [];
		let refusal: QueueRefusal | undefined;
		const {link} = createRemoteRead({
			endpointId: 'i-1',
			acquireRequest: {
				...REQUEST, onRefused(given) {
					refusal = given;
				},
			},
			peers: {
				async call(address: string) {
					called.push(address);
					return {refused: CheckoutRefusal.Hopeless, queue: QUEUE};
				},
			} as unknown as Peers,
			unreachable: createUnreachableHosts(),
			clock,
			getPoolHosts: () => ['a', 'b'],
			runOnOwn: async () => undefined,
			onReceived() {}, // eslint-disable-line @typescript-eslint/no-empty-function
			onUnreachable() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		});
		const {end} = await clock.runUntil(link.exchange({id: 's', command: {kind: 'run', text: 'READ a'}}));
		expect(end.kind).to.equal('error');
		expect(called).to.deep.equal(['a']);
		expect(refusal).to.deep.equal(QUEUE);
	});
});
