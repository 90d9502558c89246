import {expect} from 'chai';
import {isEndpointError} from '../../src/endpoints/endpoint-errors.js';
import {createExchangeRunner, type ExchangeRunner} from '../../src/endpoints/exchange-runner.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

describe('exchange runner', () => {
	const never = async () => new Promise<string>(() => undefined); // eslint-disable-line no-promise-executor-return

	/** Starts exchanges one after the other without waiting, calls `act`, and compares how each ended. */
	const doTest = (title: string, works: ReadonlyArray<() => Promise<string>>, act: (runner: ExchangeRunner) => void, expected: string) => {
		it(title, async () => {
			const clock = createVirtualClock();
			let ends = 0;
			const runner = createExchangeRunner({
				address: 'server',
				clock,
				onEnd() {
					ends++;
				},
			});
			const outcomes = works.map(async work => runner.run('work', 100, work).catch((err: unknown) =>
				isEndpointError(err) ? `sent ${err.sent}` : String(err)));
			act(runner);
			const lines = [];
			for (const outcome of outcomes) {
				lines.push(await clock.runUntil(outcome));
			}

			lines.push(`usable ${runner.usable}`, `ends ${ends}`);
			expect(lines.join(', ')).to.equal(expected);
		});
	};

	const nothing = () => undefined;
	const rejectEarly = async () => {
		throw new Error('an answer of a strange shape');
	};

	doTest('passes on an answer', [async () => 'answer'], nothing, 'answer, usable true, ends 0');
	doTest('ends the connection after a timeout', [never], nothing, 'sent true, usable false, ends 1');
	doTest('ends the connection after a failure', [rejectEarly], nothing, 'sent true, usable false, ends 1');
	doTest('refuses a second exchange without an effect on the first', [async () => 'answer', async () => 'crossed'], nothing, 'answer, sent false, usable true, ends 0');
	doTest('rejects the exchange in flight when the connection ends', [never], runner => {
		runner.end('cut');
		runner.end('cut again');
	}, 'sent true, usable false, ends 1');
});
