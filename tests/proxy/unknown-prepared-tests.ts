import {expect} from 'chai';
import {createProxyBench} from './proxy-bench.js';

/** An endpoint has forgotten what is prepared on its connections, as after a reset that the host does not know of. */
describe('a prepared statement that the endpoint does not know any more', () => {
	function doTest(name: string, lines: ReadonlyArray<readonly [text: string, answer: string]>) {
		for (const host of [0, 1, 2]) {
			it(`${name}, at host ${host + 1}`, async () => {
				const bench = await createProxyBench();
				const caller = await bench.open(bench.proxies[host]!, 'sync');
				const answers: Array<readonly [string, string]> = [];
				for (const [text] of lines) {
					if (text === 'forget') {
						for (const session of bench.getPrimary().sessions) {
							session.prepared.clear();
						}

						answers.push([text, '']);
					} else {
						answers.push([text, await bench.ask(caller, text)]);
					}
				}

				expect(answers).to.deep.equal(lines);
			});
		}
	}

	doTest('runs on another connection', [
		['PARSE s1 WRITE q', 'done idle'],
		['EXECUTE s1 a 5', 'done idle'],
		['forget', ''],
		['EXECUTE s1 a 6', 'done idle'],
		['READ a', 'done 6 idle'],
	]);
	doTest('rolls its transaction back, and the caller may try again', [
		['PARSE s1 WRITE q', 'done idle'],
		['EXECUTE s1 a 5', 'done idle'],
		['BEGIN', 'done open'],
		['EXECUTE s1 a 6', 'done open'],
		['forget', ''],
		['EXECUTE s1 b 7', 'aborted failed'],
		['ROLLBACK', 'done idle'],
		['READ a', 'done 5 idle'],
		['BEGIN', 'done open'],
		['EXECUTE s1 a 8', 'done open'],
		['COMMIT', 'done idle'],
		['READ a', 'done 8 idle'],
	]);
});
