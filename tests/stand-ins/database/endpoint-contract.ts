import {expect} from 'chai';
import {
	ContractSteps, formatKeyed, formatStatus, INSERT, SELECT, TIMEOUT_MS, type ContractHarness,
} from './contract-steps.js';

/** Declares the tests that every implementation of endpoints must pass. */
export function describeEndpointContract(name: string, createHarness: () => Promise<ContractHarness>) {
	describe(`endpoint contract: ${name}`, () => {
		const doTest = (title: string, run: (steps: ContractSteps) => Promise<readonly string[]>, expected: readonly string[]) => {
			it(title, async () => {
				const harness = await createHarness();
				try {
					const connections = [];
					for (const index of [0, 1, 2, 0]) {
						const endpoint = harness.endpoints.getEndpoint(harness.group.servers[index]!.address);
						connections.push(await harness.settle(endpoint.connect(TIMEOUT_MS)));
					}

					expect(await run(new ContractSteps(harness, connections))).to.deep.equal(expected);
				} finally {
					await harness.stop();
				}
			});
		};

		doTest('a keyed write runs once and is found by a retry', async steps => [
			await steps.insert(0, 'a', ['ana', 7]),
			await steps.insert(3, 'a', ['ana', 7]),
			await steps.insert(0, 'a', ['ana', 8]),
			await steps.read(0, 'ana'),
		], [
			'ran [{"member":"ana","score":7}] primary 1/2 of 1',
			'found [{"member":"ana","score":7}] primary 1/2 of 1',
			'mismatch primary 1/2 of 1',
			'held [{"member":"ana","score":7}] primary 1/2 of 1',
		]);

		doTest('a resolved request never runs', async steps => [
			await steps.resolve(0, 'a'),
			await steps.insert(0, 'a', ['ana', 7]),
			await steps.resolve(0, 'a'),
			await steps.insert(0, 'b', ['ben', 5]),
			await steps.resolve(0, 'b'),
			await steps.read(0, 'ana'),
		], [
			'tombstone primary 1/2 of 1',
			'tombstone primary 1/2 of 1',
			'tombstone primary 1/2 of 1',
			'ran [{"member":"ben","score":5}] primary 1/3 of 1',
			'found [{"member":"ben","score":5}] primary 1/3 of 1',
			'held [] primary 1/3 of 1',
		]);

		doTest('a failed statement does not keep its key', async steps => [
			await steps.write(0, 'a', 'UPDATE nights SET score = $1', [1]),
			await steps.insert(0, 'a', ['ana', 7]),
		], [
			'failed "relation "nights" does not exist" primary 1/1 of 1',
			'ran [{"member":"ana","score":7}] primary 1/2 of 1',
		]);

		doTest('only the primary of the term writes', async steps => [
			await steps.insert(1, 'a', ['ana', 7]),
			await steps.insert(0, 'a', ['ana', 7], 2),
			await steps.resolve(1, 'a'),
			await steps.begin(1, 'a'),
			await steps.fence(0, 2),
			await steps.insert(0, 'a', ['ana', 7]),
			await steps.insert(0, 'a', ['ana', 7], 2),
		], [
			'not-primary replica 1/1 of 1',
			'not-primary primary 1/1 of 1',
			'not-primary replica 1/1 of 1',
			'not-primary replica 1/1 of 1',
			'granted replica 1/1 of 2',
			'not-primary replica 1/1 of 2',
			'not-primary replica 1/1 of 2',
		]);

		doTest('a server grants a term once and is promoted only at the term that it promised', async steps => {
			const {servers} = steps.harness.group;
			servers[2]!.setReplicationStalled(true);
			const lines = [
				await steps.fence(1, 1),
				await steps.fence(1, 3),
				await steps.fence(1, 3),
				await steps.promote(1, 2),
				await steps.promote(1, 3),
				await steps.promote(1, 3),
				await steps.follow(1, 3, 2),
				await steps.follow(2, 3, 1),
				await steps.promote(2, 3),
				await steps.follow(2, 2, 0),
			];
			servers[2]!.setReplicationStalled(false);
			lines.push(await steps.waitFor(2, {term: 3, position: 2}));
			return lines;
		}, [
			'refused replica 1/1 of 1',
			'granted replica 1/1 of 3',
			'refused replica 1/1 of 3',
			'refused replica 1/1 of 3',
			'granted primary 3/2 of 3',
			'granted primary 3/2 of 3',
			'refused primary 3/2 of 3',
			'granted replica 1/1 of 3',
			'refused replica 1/1 of 3',
			'refused replica 1/1 of 3',
			'replica 3/2 of 3',
		]);

		doTest('a replica serves a read only if its log holds the floor', async steps => {
			const {servers} = steps.harness.group;
			const lines = [await steps.insert(0, 'a', ['ana', 7]), await steps.waitFor(1, {term: 1, position: 2})];
			servers[1]!.setReplicationStalled(true);
			lines.push(
				await steps.insert(0, 'b', ['ana', 8]),
				await steps.read(1, 'ana', {term: 1, position: 2}),
				await steps.read(1, 'ana', {term: 1, position: 3}),
				await steps.waitFor(1, {term: 1, position: 3}, 20),
			);
			servers[1]!.setReplicationStalled(false);
			lines.push(
				await steps.waitFor(1, {term: 1, position: 3}),
				await steps.read(1, 'ana', {term: 1, position: 3}),
			);
			return lines;
		}, [
			'ran [{"member":"ana","score":7}] primary 1/2 of 1',
			'replica 1/2 of 1',
			'ran [{"member":"ana","score":8}] primary 1/3 of 1',
			'held [{"member":"ana","score":7}] replica 1/2 of 1',
			'behind [] replica 1/2 of 1',
			'replica 1/2 of 1',
			'replica 1/3 of 1',
			'held [{"member":"ana","score":7},{"member":"ana","score":8}] replica 1/3 of 1',
		]);

		doTest('a read cannot write', async steps => [
			await steps.readStatement(0, INSERT, ['ana', 7]),
			await steps.readStatement(0, 'SELECT count(*) FROM nights', []),
		], [
			'held [] "cannot execute INSERT in a read-only transaction" primary 1/1 of 1',
			'held [] "relation "nights" does not exist" primary 1/1 of 1',
		]);

		doTest('a transaction\'s changes are visible only to itself until it commits', async steps => [
			await steps.insert(0, 'a', ['ana', 7]),
			await steps.begin(0, 'b'),
			await steps.run(0, 'UPDATE nights SET score = score + $1 WHERE member = $2 RETURNING *', [1, 'ana']),
			await steps.run(0, INSERT, ['ana', 9]),
			await steps.run(0, SELECT, ['ana']),
			await steps.read(3, 'ana'),
			await steps.write(3, 'c', 'DELETE FROM nights WHERE member = $1', ['ana']),
			await steps.commit(0),
			await steps.read(3, 'ana'),
			await steps.begin(3, 'b'),
			await steps.write(3, 'c', 'DELETE FROM nights WHERE member = $1', ['ana']),
		], [
			'ran [{"member":"ana","score":7}] primary 1/2 of 1',
			'ran [] primary 1/2 of 1',
			'[{"member":"ana","score":8}]',
			'[{"member":"ana","score":9}]',
			'[{"member":"ana","score":8},{"member":"ana","score":9}]',
			'held [{"member":"ana","score":7}] primary 1/2 of 1',
			'failed "could not serialize access due to concurrent update" primary 1/2 of 1',
			'ran [] primary 1/3 of 1',
			'held [{"member":"ana","score":8},{"member":"ana","score":9}] primary 1/3 of 1',
			'found [] primary 1/3 of 1',
			'ran [] primary 1/4 of 1',
		]);

		doTest('two transactions that create the same table share it', async steps => [
			await steps.begin(0, 'a'),
			await steps.run(0, INSERT, ['ana', 7]),
			await steps.insert(3, 'b', ['ana', 8]),
			await steps.commit(0),
			await steps.read(0, 'ana'),
		], [
			'ran [] primary 1/1 of 1',
			'[{"member":"ana","score":7}]',
			'ran [{"member":"ana","score":8}] primary 1/2 of 1',
			'ran [] primary 1/3 of 1',
			'held [{"member":"ana","score":7},{"member":"ana","score":8}] primary 1/3 of 1',
		]);

		doTest('a failed transaction can only be rolled back, and does not keep its key', async steps => [
			await steps.begin(0, 'a'),
			await steps.run(0, INSERT, ['ana', 7]),
			await steps.run(0, 'DELETE FROM rosters', []),
			await steps.run(0, INSERT, ['ana', 8]),
			await steps.commit(0),
			await steps.begin(0, 'a'),
			await steps.run(0, INSERT, ['ana', 9]),
			await steps.rollback(0),
			await steps.insert(0, 'a', ['ana', 10]),
			await steps.read(0, 'ana'),
		], [
			'ran [] primary 1/1 of 1',
			'[{"member":"ana","score":7}]',
			'[] "relation "rosters" does not exist"',
			'[] "current transaction is aborted"',
			'failed "the transaction had failed and was rolled back" primary 1/1 of 1',
			'ran [] primary 1/1 of 1',
			'[{"member":"ana","score":9}]',
			'rolled back',
			'ran [{"member":"ana","score":10}] primary 1/2 of 1',
			'held [{"member":"ana","score":10}] primary 1/2 of 1',
		]);

		// A request is retried while its first attempt still runs, and both reach the primary. The second attempt must wait
		// for the key of the first, get its answer, and not run again.
		doTest('a retry waits for the first attempt that is in flight', async steps => {
			await steps.begin(0, 'a');
			await steps.run(0, INSERT, ['ana', 7]);
			const second = steps.at(3).begin({requestId: 'a', digest: 'transaction', term: 1}, TIMEOUT_MS);
			return [await steps.commit(0), formatKeyed(await steps.harness.settle(second))];
		}, ['ran [] primary 1/2 of 1', 'found [] primary 1/2 of 1']);

		// A primary is cut off while it accepts writes, which never reach a replica, and another server is promoted. When the
		// old primary follows the new one, its divergent entries, their rows and their request keys must be removed.
		// Otherwise it would answer a retried request with a row that the group does not have.
		doTest('the divergent tail of a superseded primary is truncated with its rows and keys', async steps => {
			const {servers} = steps.harness.group;
			const lines = [await steps.insert(0, 'a', ['ana', 7]), await steps.waitFor(1, {term: 1, position: 2})];
			servers[0]!.faults.cut([servers[1]!.address, servers[2]!.address]);
			lines.push(
				await steps.insert(0, 'b', ['ana', 8]),
				await steps.write(0, 'c', 'UPDATE nights SET score = $1 WHERE member = $2', [99, 'ana']),
				await steps.insert(0, 'd', ['ana', 9]),
				await steps.fence(1, 2),
				await steps.promote(1, 2),
				await steps.insert(1, 'e', ['ana', 10], 2),
				await steps.read(1, 'ana', {term: 1, position: 2}),
				await steps.read(1, 'ana', {term: 1, position: 3}),
				await steps.read(1, 'ana', {term: 1, position: 5}),
			);
			servers[0]!.faults.heal();
			lines.push(
				await steps.follow(0, 2, 1),
				await steps.waitFor(0, {term: 2, position: 4}),
				await steps.read(0, 'ana', {term: 2, position: 4}),
				await steps.resolve(1, 'b', 2),
			);
			return lines;
		}, [
			'ran [{"member":"ana","score":7}] primary 1/2 of 1',
			'replica 1/2 of 1',
			'ran [{"member":"ana","score":8}] primary 1/3 of 1',
			'ran [] primary 1/4 of 1',
			'ran [{"member":"ana","score":9}] primary 1/5 of 1',
			'granted replica 1/2 of 2',
			'granted primary 2/3 of 2',
			'ran [{"member":"ana","score":10}] primary 2/4 of 2',
			'held [{"member":"ana","score":7},{"member":"ana","score":10}] primary 2/4 of 2',
			'lost [] primary 2/4 of 2',
			'lost [] primary 2/4 of 2',
			'granted replica 1/5 of 2',
			'replica 2/4 of 2',
			'held [{"member":"ana","score":7},{"member":"ana","score":10}] replica 2/4 of 2',
			'tombstone primary 2/5 of 2',
		]);

		// The primary is frozen during a write, and the proxy's exchange times out. When the primary is thawed, the write
		// takes effect, but its late answer must not be delivered, neither to the proxy nor to the connection's next user.
		doTest('a late answer is never delivered, though its write took effect', async steps => {
			const {servers} = steps.harness.group;
			servers[0]!.faults.freeze();
			const write = steps.at(0).write({
				requestId: 'a', digest: 'd', statement: INSERT, values: ['ana', 7], term: 1,
			}, 50);
			const lines = [await steps.describeFailure(write), `usable ${steps.at(0).usable}`];
			servers[0]!.faults.thaw();
			lines.push(
				await steps.describeFailure(steps.at(0).status(50)),
				await steps.waitFor(3, {term: 1, position: 2}),
				await steps.read(3, 'ana'),
			);
			return lines;
		}, [
			'no answer, sent true',
			'usable false',
			'no answer, sent false',
			'primary 1/2 of 1',
			'held [{"member":"ana","score":7}] primary 1/2 of 1',
		]);

		// A network device between proxy and server loses the state of open connections: they stay open, but no packet passes.
		doTest('exchanges on a silent connection time out, and a new connection works', async steps => {
			const {group, endpoints} = steps.harness;
			group.servers[0]!.silenceConnections();
			const lines = [await steps.describeFailure(steps.at(0).status(50)), `usable ${steps.at(0).usable}`];
			const fresh = await steps.harness.settle(endpoints.getEndpoint(group.servers[0]!.address).connect(TIMEOUT_MS));
			lines.push(formatStatus(await steps.harness.settle(fresh.status(TIMEOUT_MS))));
			return lines;
		}, ['no answer, sent true', 'usable false', 'primary 1/1 of 1']);

		// The answer to a write is lost after it took effect; the proxy must be able to find out its result.
		doTest('a write whose answer is dropped has taken effect', async steps => {
			steps.harness.group.servers[0]!.faults.dropAnswers(1, 'write');
			const write = steps.at(0).write({
				requestId: 'a', digest: 'd', statement: INSERT, values: ['ana', 7], term: 1,
			}, 50);
			return [await steps.describeFailure(write), await steps.resolve(3, 'a')];
		}, ['no answer, sent true', 'found [{"member":"ana","score":7}] primary 1/2 of 1']);

		doTest('a killed server refuses connections and has kept its log after a restart', async steps => {
			const {group, endpoints} = steps.harness;
			const server = group.servers[0]!;
			const lines = [await steps.insert(0, 'a', ['ana', 7])];
			const pending = steps.at(3).waitFor({term: 9, position: 9}, 500, TIMEOUT_MS);
			await steps.status(0);
			server.kill();
			lines.push(
				await steps.describeFailure(pending),
				await steps.describeFailure(steps.at(3).status(TIMEOUT_MS)),
				await steps.describeFailure(endpoints.getEndpoint(server.address).connect(TIMEOUT_MS)),
			);
			server.restart();
			const fresh = await steps.harness.settle(endpoints.getEndpoint(server.address).connect(TIMEOUT_MS));
			lines.push(formatStatus(await steps.harness.settle(fresh.status(TIMEOUT_MS))));
			return lines;
		}, [
			'ran [{"member":"ana","score":7}] primary 1/2 of 1',
			'no answer, sent true',
			'no answer, sent false',
			'no answer, sent false',
			'primary 1/2 of 1',
		]);

		doTest('a server that is cut off from all hosts is unreachable until the cut ends', async steps => {
			const {group, endpoints} = steps.harness;
			const server = group.servers[0]!;
			server.faults.cut();
			const lines = [
				await steps.describeFailure(steps.at(0).status(50)),
				await steps.describeFailure(endpoints.getEndpoint(server.address).connect(50)),
			];
			server.faults.heal();
			const fresh = await steps.harness.settle(endpoints.getEndpoint(server.address).connect(TIMEOUT_MS));
			lines.push(formatStatus(await steps.harness.settle(fresh.status(TIMEOUT_MS))));
			return lines;
		}, ['no answer, sent true', 'no answer, sent false', 'primary 1/1 of 1']);

		doTest('a server accepts no more connections than its limit', async steps => {
			const {group, endpoints} = steps.harness;
			const endpoint = endpoints.getEndpoint(group.servers[0]!.address);
			const first = await steps.harness.settle(endpoint.connect(TIMEOUT_MS));
			const lines = [await steps.describeFailure(endpoint.connect(TIMEOUT_MS))];
			await steps.harness.settle(first.close());
			while (group.servers[0]!.connections > 2) {
				await steps.status(0);
			}

			lines.push(await steps.describeFailure(endpoint.connect(TIMEOUT_MS)));
			return lines;
		}, ['no answer, sent false', 'answered']);
	});
}
