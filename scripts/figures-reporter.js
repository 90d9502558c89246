import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {reporters} from 'mocha';

/** Mocha's spec reporter, which also writes the titles of passed and failed tests and the number of pending ones to the file named by TEST_FIGURES. */
export default class FiguresReporter extends reporters.Spec {
	constructor(runner, options) {
		super(runner, options);
		const passed = [];
		const failed = [];
		let pending = 0;
		runner.on('pass', test => passed.push(test.fullTitle()));
		runner.on('fail', test => failed.push(test.fullTitle()));
		runner.on('pending', () => {
			pending++;
		});
		runner.once('end', () => {
			writeFileSync(process.env.TEST_FIGURES, JSON.stringify({passed, failed, pending}));
		});
	}
}
