import {PassThrough, Writable} from 'node:stream';
import {expect} from 'chai';
import {createBunyanLog} from '../../src/log/bunyan-log.js';
import {PlatformError} from '../../src/object-store/platform-errors.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

describe('bunyan log', () => {
	const createLog = (level = 'info') => {
		const stream = new PassThrough();
		const log = createBunyanLog({
			clock: createVirtualClock(0), name: 'aldercroftd', hostName: 'entry-1', level, stream,
		});
		return {log, read: () => String(stream.read() ?? '')};
	};

	const parse = (line: string) => JSON.parse(line) as Record<string, unknown>;

	it('prints a sentence after its prefixes, with its fields and the clock\'s time', () => {
		const {log, read} = createLog();
		log.withPrefix('failover: ').withPrefix('sleep: ').warn('the primary is silent, 100% so', {term: 3});
		expect(parse(read())).to.include({
			name: 'aldercroftd', hostname: 'entry-1', level: 40, msg: 'failover: sleep: the primary is silent, 100% so', term: 3, time: '1970-01-01T00:00:00.000Z',
		});
	});

	it('prints nothing below its level', () => {
		const {log, read} = createLog('warn');
		log.info('started');
		log.debug('detail');
		expect(read()).to.equal('');
	});

	describe('redacts secrets in', () => {
		const doTest = (fields: Record<string, unknown>) => {
			it(JSON.stringify(fields), () => {
				const {log, read} = createLog();
				log.error('failed', fields);
				const line = read();
				expect(line).to.include('[redacted]').and.not.include('hush');
				expect(line).to.include('shown');
			});
		};

		for (const name of ['token', 'key', 'password', 'session', 'values', 'authorization']) {
			doTest({[name]: 'hush', other: 'shown'});
		}

		doTest({bearerToken: 'hush', other: 'shown'});
		doTest({signingKeys: ['hush'], other: 'shown'});
		doTest({Authorization: 'hush', other: 'shown'});
		doTest({req: {headers: {authorization: 'hush', host: 'shown'}}});
		doTest({tries: [{values: ['hush'], endpoint: 'shown'}]});
	});

	it('prints an error with its causes but without its other properties', () => {
		const {log, read} = createLog();
		const cause = Object.assign(new Error('reset'), {detail: 'Key (member)=(hush)'});
		log.error('no answer', {err: new PlatformError('the platform gave no answer', {cause}), sessionId: 'shown'});
		const line = read();
		expect(line).to.include('the platform gave no answer').and.include('reset').and.include('shown');
		expect(line).to.not.include('hush');
	});

	// The reader of a daemon's output exits and the daemon is asked to stop. Without a listener for stream errors it would use a full core instead of
	// stopping: each line would raise an uncaught error, and the line that logs that error would raise the next one.
	it('keeps working after the reader of its output has exited', async () => {
		let lines = 0;
		const stream = new Writable({
			autoDestroy: false,
			write(_chunk, _encoding, done) {
				lines++;
				done(new Error('EPIPE'));
			},
		});
		const log = createBunyanLog({
			clock: createVirtualClock(0), name: 'aldercroftd', hostName: 'entry-1', level: 'info', stream,
		});
		log.info('serving');
		await new Promise(setImmediate);
		expect(lines).to.equal(1);
	});
});
