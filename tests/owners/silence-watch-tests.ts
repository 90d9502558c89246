import {expect} from 'chai';
import {createSilenceWatch} from '../../src/owners/silence-watch.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

describe('silence watch', () => {
	/** An exchange: when it is sent, and when it ends where it does, in milliseconds. */
	type Exchange = [sentAt: number, endsAt?: number];

	// Guards against a frozen primary that only the next poll detects, while writes wait for it.
	const doTest = (title: string, exchanges: Exchange[], receivedAt: number | undefined, expected: number[]) => {
		it(title, async () => {
			const clock = createVirtualClock();
			const startedAt = clock.now();
			const reports: number[] = [];
			const watch = createSilenceWatch({
				clock,
				knowledge: {get: () => receivedAt === undefined || clock.now() < startedAt + receivedAt ? undefined : {seenAt: startedAt + receivedAt, failures: 0}},
				onSilent(_endpoint, now) {
					reports.push(now - startedAt);
				},
			});
			const send = async ([sentAt, endsAt = Infinity]: Exchange) => {
				await clock.sleep(sentAt);
				const end = watch.begin('a');
				await clock.sleep(endsAt - sentAt);
				end();
			};

			for (const exchange of exchanges) {
				void send(exchange);
			}

			await clock.advance(1000);
			watch.stop();
			expect(reports).to.deep.equal(expected);
		});
	};

	doTest('reports an endpoint that is silent after the exchange was sent', [[10]], undefined, [60]);
	doTest('reports once per exchange', [[10], [40]], 5, [60, 90]);
	doTest('reports nothing when the exchange ends in time', [[10, 40], [100, 149]], undefined, []);
	doTest('does not report a long statement when another response was received', [[10]], 20, []);
	doTest('watches a later exchange after the first has ended', [[10, 20], [30]], undefined, [80]);
});
