import {doProof, MEMBER, sync} from '../proofs/proof-bench.js';

describe('read path', () => {
	const doTest = (title: string, quietMs: number, answerDelayMs: number) => {
		// A coach asks for data of at most 5 s. The last sync that bounds the age is a little younger than that when the read
		// sets out and a little older when the rows arrive. The group is healthy, so the owner must answer and not refuse.
		doProof(title, async proof => {
			const [owner = ''] = proof.owners;
			const {term = 0, position = 0} = await proof.ask(owner, sync(41), 'new');
			await proof.clock.advance(quietMs);
			for (const {faults} of proof.servers) {
				faults.delayAnswers(answerDelayMs);
			}

			const {outcome, rows, refusal} = await proof.clock.runUntil(proof.system.getProxyOrThrow(owner).kernel.getOrThrow('owners').execute({
				group: 'sleep-logs',
				requestId: proof.createId(),
				kind: 'read',
				statement: 'SELECT score FROM nights WHERE member = $1',
				values: [MEMBER],
				digest: '',
				floor: {term, position},
				maxAgeMs: 5000,
				class: 'interactive',
				remainingMs: 2000,
				configVersion: 1,
			}));
			return [`${outcome}: ${refusal?.code ?? JSON.stringify(rows)}`];
		}, ['done: [{"score":41}]']);
	};

	doTest('answers where the age stays within what was asked', 4000, 50);
	doTest('answers where the known age passes what was asked on the way', 4950, 50);
	doTest('answers where the age is unknown from the start', 6000, 50);
});
