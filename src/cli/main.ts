#!/usr/bin/env node
import process from 'node:process';
import {createSystemRandom} from '../random/system-random.js';
import {createSystemClock} from '../time/system-clock.js';
import {runCli} from './run-cli.js';

process.exitCode = await runCli({
	args: process.argv.slice(2),
	env: process.env,
	input: process.stdin,
	output: process.stdout,
	errors: process.stderr,
	clock: createSystemClock(),
	random: createSystemRandom(),
});
