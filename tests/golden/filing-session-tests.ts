import type {SimulatedSystemOptions} from '../../src/stand-ins/system/simulated-system.js';
import {createRequestId} from '../../src/random/request-id.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {callerRequestSchema} from '../../src/callers/caller-request.js';
import {expectGolden} from './golden-file.js';
import {startSessionScript} from './session-script.js';

const FILINGS: SimulatedSystemOptions = {
	proxies: 3,
	availabilityZones: ['Lozenets', 'Mladost', 'Druzhba'],
	groups: [{name: 'filings', availabilityZones: ['Lozenets', 'Mladost', 'Druzhba']}],
	latencyMs: 1.5,
};

const INSERT = 'INSERT INTO filings (mark, class) VALUES ($1, $2)';

describe('golden: writes of one session through several failures', () => {
	// A caller inserts four rows. The primary dies after the first, the answer to the third is lost, and the proxy dies while it
	// handles the fourth, whose message arrives when no caller waits for it any more. Each row must be inserted once or be
	// reported as not inserted, and a later read must show just that.
	it('inserts each row once, or reports that it did not run', async () => {
		const script = await startSessionScript(FILINGS, {hidesTimes: true});
		const {system} = script;
		const random = createSeededRandom(4);
		const createId = () => createRequestId(system.clock.wall(), random);
		const attorney = script.createCaller('attorney', 'new');
		const file = (mark: string, requestId: string, attempt = 1) => ({
			kind: 'write', statement: INSERT, values: [mark, 9], class: 'deadline', requestId, attempt,
		});
		const [old] = system.getGroupOrThrow('filings').servers;
		await attorney.ask('entry-1', 'filings', file('Rila', createId()));

		script.note('filings-1, the primary, dies');
		old!.kill();
		await attorney.ask('entry-2', 'filings', file('Pirin', createId()));

		script.note('the answer to the next filing is lost between filings-2 and the proxy');
		const vitosha = createId();
		for (const server of system.getGroupOrThrow('filings').servers) {
			server.faults.dropAnswers(1, 'write');
		}

		await attorney.ask('entry-3', 'filings', file('Vitosha', vitosha));
		script.note('the browser sends it again, in case');
		await attorney.ask('entry-2', 'filings', file('Vitosha', vitosha, 2));

		script.note('entry-2 dies with a filing in its hands, which is still on its way to the primary');
		const strandzha = createId();
		const dying = system.getProxyOrThrow('entry-2');
		for (const {address} of system.getGroupOrThrow('filings').servers) {
			dying.endpoints.getLink(address).setDelay(4000);
		}

		void dying.kernel.getOrThrow('entry').execute('filings', callerRequestSchema.parse(file('Strandzha', strandzha)), attorney.token);
		await system.clock.advance(10);
		system.network.kill(dying.address);
		await attorney.queryOutcome('entry-3', 'filings', strandzha);
		await system.clock.advance(20_000);
		script.note('the message has arrived; filings-1 is back');
		old!.restart();
		await system.clock.advance(20_000);
		const portal = script.createCaller('portal', attorney.token);
		await portal.ask('entry-3', 'filings', {kind: 'read', statement: 'SELECT mark FROM filings'});
		await script.end();
		expectGolden('filing-session', script.getTranscript());
	});
});
