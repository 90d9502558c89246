import {callerRequestSchema} from '../../src/callers/caller-request.js';
import {BOOTSTRAP_OPERATOR} from '../../src/operators/create-operator-access.js';
import {
	doProof, GROUP, createRead, createWrite, type Proof, type ProofOptions,
} from './proof-bench.js';
import {startTraffic, type Traffic, type TrafficOptions} from './traffic.js';

type StopOptions = ProofOptions & {readonly traffic?: TrafficOptions};

/** How long the traffic continues after the stop, in milliseconds. */
const TRAFFIC_AFTER_STOP_MS = 5000;

async function order(proof: Proof, command: string): Promise<void> {
	const commands = proof.system.getProxyOrThrow(proof.outsider).kernel.getOrThrow('operatorCommands');
	const {status, text} = await proof.clock.runUntil(commands.run(command, {name: BOOTSTRAP_OPERATOR, role: 'operate'}, undefined));
	if (status !== 'ok') {
		throw new Error(text);
	}
}

/** Counts what runs at an endpoint through any proxy, as it is shown to operators. */
function countRunning(proof: Proof, endpoint: string): number {
	const owners = proof.system.proxies.map(({kernel}) => kernel.getOrThrow('owners').getOwner(GROUP));
	return owners.flatMap(owner => owner?.parts.running.getAt(endpoint) ?? []).length;
}

/** Waits until nothing runs at an endpoint, as an operator does before removing the server. */
async function waitForEnd(proof: Proof, endpoint: string): Promise<void> {
	await proof.clock.advance(2000);
	while (countRunning(proof, endpoint) > 0) {
		await proof.clock.advance(100);
	}
}

function doTest(title: string, stop: (proof: Proof, traffic: Traffic) => Promise<readonly string[]>, expected: readonly string[], options: StopOptions = {}) {
	doProof(title, async proof => {
		await proof.ask(proof.outsider, createWrite(41), 'new');
		const traffic = startTraffic(proof, {transactions: true, ...options.traffic});
		await proof.clock.advance(1000);
		const events = await stop(proof, traffic);
		await proof.clock.advance(TRAFFIC_AFTER_STOP_MS);
		return [...events, ...await traffic.stop()];
	}, expected, options);
}

describe('proof: a planned stop cuts no request', () => {
	describe('of an endpoint', () => {
		// An operator drains a server, waits until nothing runs there and removes it. Statements take up to a tenth of a second,
		// so some are running at each step. No request may fail.
		const doEndpointTest = (title: string, index: number) => {
			doTest(title, async proof => {
				const endpoint = `${GROUP}-${index + 1}`;
				await order(proof, `drain endpoint ${endpoint}`);
				await waitForEnd(proof, endpoint);
				await order(proof, `stop endpoint ${endpoint}`);
				await proof.clock.advance(1000);
				const cut = `cut: ${countRunning(proof, endpoint)}`;
				proof.servers[index]!.kill();
				return [cut, `primary: ${proof.servers.indexOf(proof.getPrimaryOrThrow()) === 0 ? 'the old one' : 'a new one'}`];
			}, ['cut: 0', `primary: ${index === 0 ? 'a new one' : 'the old one'}`], {serverParameters: {serviceMs: 30}});
		};

		doEndpointTest('that is a replica', 1);
		doEndpointTest('that is the primary', 0);
	});

	// An operator promotes another server while there is traffic.
	doTest('of the primary\'s role', async proof => {
		await order(proof, `promote endpoint ${GROUP}-3`);
		return [`primary: ${proof.servers.indexOf(proof.getPrimaryOrThrow()) + 1}`];
	}, ['primary: 3'], {serverParameters: {serviceMs: 30}});

	describe('of a proxy', () => {
		const doProxyTest = (title: string, pick: (proof: Proof) => string, options: StopOptions = {}) => {
			doTest(title, async (proof, traffic) => {
				const name = pick(proof);
				traffic.avoidProxy(name);
				await proof.clock.advance(500);
				await proof.clock.runUntil(proof.system.leave(name));
				return [];
			}, [], {serverParameters: {serviceMs: 30}, ...options});
		};

		// A host is replaced. The balancer sends its callers to other hosts, but the host owns the group: it still runs requests
		// from all other proxies, and transactions are open there.
		doProxyTest('that is the first owner', ({owners}) => owners[0]!);
		doProxyTest('that is the second owner', ({owners}) => owners[1]!);
		doProxyTest('that is the only owner', ({owners}) => owners[0]!, {config: {owners: 1}});
		doProxyTest('that is the only owner of a larger fleet', ({owners}) => owners[0]!, {config: {owners: 1}, proxies: 7});
		doProxyTest('that is the only owner, before the next one has received a request for the group', ({owners}) => owners[0]!, {config: {owners: 1}, traffic: {atOutsider: true}});
		doProxyTest('that owns nothing', ({outsider}) => outsider);

		// Statements are running at the host when it is stopped, and their deadlines leave no time for a second try.
		doProof('with running statements', async proof => {
			const [owner = ''] = proof.owners;
			const written = await proof.ask(owner, createWrite(41), 'new');
			await proof.clock.advance(1000);
			const bodies = [1, 2, 3].flatMap(score => [createRead({deadlineMs: 500}), createWrite(score, {deadlineMs: 500})]);
			const pending = bodies.map(async body => proof.send(proof.outsider, body, written.session));
			await proof.clock.advance(50);
			await proof.clock.runUntil(proof.system.leave(owner));
			const answers = await proof.clock.runUntil(Promise.all(pending));
			return answers.map(({outcome}) => outcome);
		}, ['done', 'done', 'done', 'done', 'done', 'done'], {config: {owners: 1}, serverParameters: {serviceMs: 200}});

		// A commit arrived through another host and is in the primary's log, but the replicas that must confirm it lag. The
		// transaction is no longer open and no single request is running, so the host could consider itself idle. The outcome of
		// the commit would then be unknown and have to be resolved through the next owner.
		doProof('with a commit that waits for its confirmation', async proof => {
			const [owner = ''] = proof.owners;
			const entry = proof.getEntry(proof.outsider);
			const {requestId} = await proof.clock.runUntil(proof.getEntry(owner).begin(GROUP, {class: 'interactive', deadlineMs: 4000}, 'new'));
			const statement = callerRequestSchema.parse(createWrite(1));
			await proof.clock.runUntil(entry.run(requestId, statement, 'new'));
			const committed = entry.commit(requestId, 'new');
			await proof.clock.advance(100);
			const scores = proof.getScores();
			const leaving = proof.system.leave(owner);
			const first = await proof.clock.runUntil(Promise.race([
				committed.then(({outcome}) => outcome),
				leaving.then(() => 'the host has left'),
			]));
			await proof.clock.runUntil(leaving);
			const {outcome} = await proof.clock.runUntil(committed);
			return [scores, first, outcome];
		}, ['stored: 1', 'done', 'done'], {config: {owners: 1}, serverParameters: {replicationLagMs: 1000}});
	});
});
