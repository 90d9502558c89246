import {doProof, MEMBER, createWrite} from '../proofs/proof-bench.js';

describe('read path', () => {
	const doTest = (title: string, quietMs: number, answerDelayMs: number) => {
		// Guards against refusing a read of a healthy group because its age bound expires during the exchange: the read accepts
		// data of at most 5 s, and the last write that bounds the age is younger than that when the read starts and older when
		// the rows arrive.
		doProof(title, async proof => {
			const [owner = ''] = proof.owners;
			const {term = 0, position = 0} = await proof.ask(owner, createWrite(41), 'new');
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

	doTest('returns rows when the age stays within the maximum', 4000, 50);
	doTest('returns rows when the known age exceeds the maximum during the exchange', 4950, 50);
	doTest('returns rows when the age is not known to be within the maximum from the start', 6000, 50);
});
