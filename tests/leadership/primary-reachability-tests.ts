import {expect} from 'chai';
import {createPrimaryReachability, type PrimaryReachabilityOptions} from '../../src/leadership/primary-reachability.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {throwPeerSilent} from '../../src/peers/peer-errors.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

type Report = boolean | 'silent' | 'bug';

/** Evaluates a primary that this host does not reach; returns the verdict and how long it took. */
async function evaluate(reports: readonly Report[]) {
	const clock = createVirtualClock(0);
	const hosts = [{peerAddress: 'own'}, ...reports.map((_, i) => ({peerAddress: String(i)}))];
	const reachability = createPrimaryReachability({
		clock,
		log: createSilentLog(),
		ownPeerAddress: 'own',
		directory: {get: () => undefined},
		mirror: {state: {hosts}},
		poolHosts: {isShared: () => false, getHosts: () => hosts},
		peers: {
			handle: () => undefined,
			async call(address: string, kind: string, _req: unknown, timeoutMs: number) {
				const report = reports[Number(address)]!;
				await clock.sleep(report === 'silent' ? timeoutMs : 5);
				if (report === 'silent') {
					throwPeerSilent(address, kind);
				}

				if (report === 'bug') {
					throw new TypeError('a bug');
				}

				return {reachable: report};
			},
		},
	} as unknown as PrimaryReachabilityOptions);
	return `${await clock.runUntil(reachability.evaluate('nights', 'p', 0))} after ${clock.now()} ms`;
}

/** A host that cannot reach a primary asks the others. A dead host must not delay the verdict once its response cannot change it. */
describe('the verdict of hosts on a primary', () => {
	function doTest(name: string, reports: readonly Report[], expected: string) {
		it(name, async () => {
			expect(await evaluate(reports)).to.equal(expected);
		});
	}

	doTest('is lost as soon as half of the hosts cannot reach it', [false, false, true, 'silent'], 'lost after 5 ms');
	doTest('is reached by others as soon as most hosts reach it', [true, true, true, 'silent'], 'reached-by-others after 5 ms');
	doTest('waits for silent hosts if they can change it', [true, false, 'silent', 'silent'], 'lost after 400 ms');
	doTest('is undecided if too few respond', [false, 'silent', 'silent', 'silent'], 'open after 400 ms');

	it('is rejected with an unexpected error of a call', async () => {
		const err: unknown = await evaluate(['bug', 'silent']).catch((err_: unknown) => err_);
		expect(err).to.be.instanceOf(TypeError);
	});
});
