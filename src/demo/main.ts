import process from 'node:process';
import {runDemo} from './run-demo.js';

process.exitCode = await runDemo({
	print(line) {
		console.log(line);
	},
	events: process,
});
