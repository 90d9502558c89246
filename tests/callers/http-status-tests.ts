import {readFileSync} from 'node:fs';
import {expect} from 'chai';
import {getHttpStatus, getRetryAfterSeconds} from '../../src/callers/http-status.js';
import {RefusalCode} from '../../src/refusals/refusal.js';

describe('http status', () => {
	const page = readFileSync('docs/CALLERS.md', 'utf8');

	for (const code of Object.values(RefusalCode)) {
		it(`docs/CALLERS.md has the status of not-run with ${code}`, () => {
			const status = getHttpStatus({outcome: 'not-run', refusal: {code, reason: ''}});
			const row = page.split('\n').find(line => line.startsWith(`| ${status} |`));
			expect(row).to.include(`\`${code}\``);
		});
	}

	it('depends on the outcome before the refusal', () => {
		const refusal = {code: RefusalCode.QueueFull, reason: ''};
		expect(getHttpStatus({outcome: 'done', refusal})).to.equal(200);
		expect(getHttpStatus({outcome: 'unknown', refusal})).to.equal(504);
		expect(getHttpStatus({outcome: 'not-run'})).to.equal(503);
	});

	it('rounds the retry delay up to whole seconds', () => {
		expect([0, 1, 1000, 1001].map(ms => getRetryAfterSeconds(ms))).to.deep.equal([0, 1, 1, 2]);
	});
});
