import {PassThrough} from 'node:stream';
import {expect} from 'chai';
import {runDaemon, type ProcessEvents} from '../../src/daemon/run-daemon.js';
import {getVariableName} from '../../src/settings/read-settings.js';
import type {Settings} from '../../src/settings/settings.js';
import {createStubDaemon, STUB_SETTINGS, type StubDaemon} from './stub-daemon.js';

const ENV = Object.fromEntries(Object.entries(STUB_SETTINGS)
	.filter(([name]) => !name.endsWith('Port'))
	.map(([name, value]) => [getVariableName(name as keyof Settings), String(value)]));

describe('aldercroftd', () => {
	let stub: StubDaemon;
	let listeners: Array<[string, (detail: unknown) => void]>;
	let output: PassThrough;
	let errors: PassThrough;

	beforeEach(() => {
		stub = createStubDaemon();
		listeners = [];
		output = new PassThrough();
		errors = new PassThrough();
	});

	const events: ProcessEvents = {
		on(...listener) {
			listeners.push(listener);
		},
	};

	const emit = (event: string, detail?: unknown) => {
		for (const [name, listen] of listeners) {
			if (name === event) {
				listen(detail);
			}
		}
	};

	const run = async (args: string[]) => runDaemon({
		...stub, args, env: ENV, output, errors, events, createDependencies: () => stub.dependencies,
	});

	const waitFor = async (event: string) => {
		while (!stub.events.includes(event)) {
			await stub.clock.advance(0);
		}
	};

	it('prints its help and its version', async () => {
		expect(await run(['--help'])).to.equal(0);
		expect(String(output.read())).to.include('--signing-keys').and.include('ALDERCROFT_SIGNING_KEYS');
		expect(await run(['--version'])).to.equal(0);
		expect(String(output.read())).to.equal('0.1.0\n');
	});

	it('names an invalid setting in one line and exits with 2', async () => {
		expect(await run(['--caller-prot', '1'])).to.equal(2);
		expect(String(errors.read())).to.equal('aldercroftd: --caller-prot: no such setting\n');
		expect(stub.events).to.deep.equal([]);
	});

	describe('on a signal', () => {
		const doTest = (signal: string) => {
			it(`stops gracefully on ${signal}, also if it is sent twice, and exits with 0`, async () => {
				const running = run([]);
				await waitFor('serving');
				emit(signal);
				emit(signal);
				expect(await stub.clock.runUntil(running)).to.equal(0);
				expect(stub.events).to.deep.equal(['service starts', 'serving', 'leaving', 'service stops', 'platform stops', 'left']);
			});
		};

		doTest('SIGTERM');
		doTest('SIGINT');
	});

	it('exits with 1 if a service cannot start, and stops those that had started', async () => {
		stub.behaviour.start = async () => {
			throw new Error('port taken');
		};

		expect(await run([])).to.equal(1);
		expect(stub.events).to.deep.equal(['could not start: port taken', 'platform stops']);
	});

	it('stops on a signal that arrives while the start of a service hangs', async () => {
		stub.behaviour.start = async () => new Promise(() => {
			stub.events.push('hanging');
		});
		const running = run([]);
		await waitFor('hanging');

		emit('SIGTERM');
		expect(await running).to.equal(0);
		expect(stub.events).to.deep.equal(['hanging', 'stopped before it had started', 'leaving', 'platform stops', 'left']);
	});

	it('logs an uncaught error and exits with 1', async () => {
		const running = run([]);
		await waitFor('serving');
		emit('uncaughtException', new Error('bug'));
		expect(await running).to.equal(1);
		expect(stub.events.at(-1)).to.equal('an error was not caught: bug');
		emit('SIGTERM');
		await stub.clock.advance(10_000);
	});
});
