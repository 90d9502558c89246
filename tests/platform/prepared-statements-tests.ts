import {expect} from 'chai';
import {startLocalPlatform, type LocalPlatform, type LocalProxy} from '../../src/stand-ins/plain-platform/local-platform.js';
import {openWireCaller} from '../../src/stand-ins/plain-platform/wire-caller.js';

/** Runs prepared statements of callers on the built program, over real sockets and the connections that it shares among them. */
describe('prepared statements of callers', () => {
	const written = new Map<string, string>();
	let platform: LocalPlatform;
	let proxy: LocalProxy;

	before(async () => {
		platform = await startLocalPlatform({
			onRead() {}, // eslint-disable-line @typescript-eslint/no-empty-function
			onCommit({writes}) {
				for (const {item, data, statementId} of writes) {
					written.set(statementId, `${item}=${data}`);
				}
			},
		});
		proxy = await platform.startProxy('entry-1');
	});

	after(async () => {
		await platform.stop();
	});

	/** Prepares the shape in a session of its own and writes an item with it. */
	async function write(shape: string, id: string) {
		const caller = await openWireCaller(proxy.callerPort, 'sync');
		await caller.ask(`p-${id}`, `PARSE s1 WRITE ${shape}`);
		const [answer] = await caller.ask(id, 'EXECUTE s1 1a4 7');
		caller.leave();
		return answer;
	}

	function doTest(name: string, shapes: readonly string[]) {
		it(name, async () => {
			for (const [i, shape] of shapes.entries()) {
				const id = `${name.length}-${i}`;
				expect(await write(shape, id)).to.equal(`COMPLETE sign-${id}`);
				expect(written.get(id)).to.equal('1a4=7');
			}
		});
	}

	/** A shape that holds blanks ended the name under which it was prepared, and its other words stood before the arguments. */
	doTest('run with their own arguments where the shape holds words of the protocol', ['qf WRITE ve', 'q1d READ wh', 'q28 xc  due']);
	doTest('run with their own arguments where the shape begins or ends with a blank', [' qf', 'qf ']);
	doTest('run with their own arguments where the shape holds bytes of any kind', ['q\tf', 'q\nf', 'q\rf', 'q\0f', 'q\u00A0\u00E9\u00FF']);
});
