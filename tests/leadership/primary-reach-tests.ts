import {expect} from 'chai';
import {createPrimaryReach, type PrimaryReachOptions} from '../../src/leadership/primary-reach.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {throwPeerSilent} from '../../src/peers/peer-errors.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

type Opinion = boolean | 'silent' | 'bug';

/** Judges a primary that this host does not reach; tells the verdict and how long it took. */
async function judge(opinions: readonly Opinion[]) {
	const clock = createVirtualClock(0);
	const hosts = [{peerAddress: 'own'}, ...opinions.map((_, i) => ({peerAddress: String(i)}))];
	const reach = createPrimaryReach({
		clock,
		log: createSilentLog(),
		ownPeerAddress: 'own',
		directory: {get: () => undefined},
		mirror: {state: {hosts}},
		lenders: {isShared: () => false, getKeepers: () => hosts},
		peers: {
			handle: () => undefined,
			async call(address: string, kind: string, _req: unknown, timeoutMs: number) {
				const opinion = opinions[Number(address)]!;
				await clock.sleep(opinion === 'silent' ? timeoutMs : 5);
				if (opinion === 'silent') {
					throwPeerSilent(address, kind);
				}

				if (opinion === 'bug') {
					throw new TypeError('a bug');
				}

				return {reachable: opinion};
			},
		},
	} as unknown as PrimaryReachOptions);
	return `${await clock.runUntil(reach.judge('nights', 'p', 0))} after ${clock.now()} ms`;
}

/** A primary is lost for a host, which asks the others; one of them is dead, and its silence must hold nobody up once it cannot matter. */
describe('the judgement of hosts about a primary', () => {
	function doTest(name: string, opinions: readonly Opinion[], expected: string) {
		it(name, async () => {
			expect(await judge(opinions)).to.equal(expected);
		});
	}

	doTest('is that it is lost as soon as half cannot reach it', [false, false, true, 'silent'], 'lost after 5 ms');
	doTest('is that others reach it as soon as most do', [true, true, true, 'silent'], 'reached-by-others after 5 ms');
	doTest('waits for the silent where they matter', [true, false, 'silent', 'silent'], 'lost after 400 ms');
	doTest('stays open where too few answer', [false, 'silent', 'silent', 'silent'], 'open after 400 ms');

	it('hands a bug on', async () => {
		const err: unknown = await judge(['bug', 'silent']).catch((err_: unknown) => err_);
		expect(err).to.be.instanceOf(TypeError);
	});
});
