import {expect} from 'chai';
import {createSilenceWatch} from '../../src/owners/silence-watch.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

describe('silence watch', () => {
	/** An exchange: when it is sent, and when it ends where it does, in milliseconds. */
	type Exchange = [sentAt: number, endsAt?: number];

	// A frozen primary is noticed by the next poll alone, and filings stall for that much longer.
	const doTest = (title: string, exchanges: Exchange[], heardAt: number | undefined, expected: number[]) => {
		it(title, async () => {
			const clock = createVirtualClock();
			const startedAt = clock.now();
			const doubts: number[] = [];
			const watch = createSilenceWatch({
				clock,
				knowledge: {get: () => heardAt === undefined || clock.now() < startedAt + heardAt ? undefined : {seenAt: startedAt + heardAt, failures: 0}},
				onDoubt(_endpoint, now) {
					doubts.push(now - startedAt);
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
			expect(doubts).to.deep.equal(expected);
		});
	};

	doTest('doubts an endpoint that was silent since the exchange was sent', [[10]], undefined, [60]);
	doTest('raises one doubt an exchange', [[10], [40]], 5, [60, 90]);
	doTest('has no doubt where the exchange ends', [[10, 40], [100, 149]], undefined, []);
	doTest('has no doubt of a long statement where another answer came', [[10]], 20, []);
	doTest('watches a later exchange after the first has ended', [[10, 20], [30]], undefined, [80]);
});
