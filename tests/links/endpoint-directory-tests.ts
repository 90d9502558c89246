import {expect} from 'chai';
import {createEndpointDirectory, MISSING_AFTER_MS} from '../../src/links/endpoint-directory.js';
import type {Log} from '../../src/log/log.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {EMPTY_STATE} from '../../src/mirror/mirror-state.js';
import type {StoreMirror} from '../../src/mirror/store-mirror.js';
import type {RegisteredEndpoint} from '../../src/routes/routing.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

const makeEntry = (id: string, server: string): RegisteredEndpoint => ({
	id, server, group: 'nights', address: '10.1.0.9:8080', availabilityZone: 'hall-a', slots: 3, leaving: false, claimsLead: false,
});

/** A connection that never opens; these tests need none. */
const NEVER = new Promise<never>(() => {}); // eslint-disable-line @typescript-eslint/no-empty-function

describe('the endpoint directory', () => {
	/** Updates a directory with one list after the other, each `afterMs` after the start, and compares the endpoints that it then has. */
	function doTest(name: string, lists: ReadonlyArray<{readonly afterMs: number; readonly entries: readonly RegisteredEndpoint[]}>, expected: readonly string[]) {
		it(name, () => {
			const mirror = {state: EMPTY_STATE};
			const directory = createEndpointDirectory({
				mirror: mirror as unknown as StoreMirror,
				opener: {open: async () => NEVER},
				clock: createVirtualClock(),
				log: createSilentLog(),
				getSharing: () => ({hosts: 1, isPoolHost: true}),
				sharePool: (_entry, ownPool) => ownPool,
				getMinPosition: () => undefined,
			});
			for (const {afterMs, entries} of lists) {
				mirror.state = {...EMPTY_STATE, endpoints: entries};
				directory.update(afterMs);
			}

			expect(directory.list('nights').map(({entry}) => entry.id)).to.deep.equal(expected);
		});
	}

	/** A host that starts adds all endpoints of the fleet at once; hundreds of hosts that each log every one of them would fill the logs with the same lines. */
	it('logs endpoints in one line where many are added at once, and one by one later', () => {
		const lines: string[] = [];
		const silent = createSilentLog();
		const log: Log = {
			...silent,
			info(sentence) {
				lines.push(sentence);
			},
			withPrefix: () => log,
		};
		const mirror = {state: EMPTY_STATE};
		const directory = createEndpointDirectory({
			mirror: mirror as unknown as StoreMirror,
			opener: {open: async () => NEVER},
			clock: createVirtualClock(),
			log,
			getSharing: () => ({hosts: 1, isPoolHost: true}),
			sharePool: (_entry, ownPool) => ownPool,
			getMinPosition: () => undefined,
		});
		const entries = Array.from({length: 42}, (_, i) => makeEntry(`i-${i}`, `i-${i}`));
		for (const [at, count] of [41, 42].entries()) {
			mirror.state = {...EMPTY_STATE, endpoints: entries.slice(0, count)};
			directory.update(at);
		}

		expect(lines).to.deep.equal(['endpoints are registered', 'an endpoint is registered']);
		expect(directory.list('nights')).to.have.lengthOf(42);
	});

	const first = makeEntry('i-1 1000', 'i-1');
	const second = makeEntry('i-1 2000', 'i-1');
	const other = makeEntry('i-2', 'i-2');

	doTest('keeps an endpoint whose entry has just gone missing', [{afterMs: 0, entries: [first, other]}, {afterMs: 10, entries: [other]}], ['i-1 1000', 'i-2']);
	doTest('removes an endpoint whose entry is missing for longer than a fault of the store explains', [
		{afterMs: 0, entries: [first, other]}, {afterMs: 10, entries: [other]}, {afterMs: 11 + MISSING_AFTER_MS, entries: [other]},
	], ['i-2']);
	// Connections to the previous incarnation would be used, and its statistics trusted, for all that time.
	doTest('removes an incarnation as soon as the next one is listed', [{afterMs: 0, entries: [first, other]}, {afterMs: 10, entries: [second, other]}], ['i-2', 'i-1 2000']);
});
