import {expect} from 'chai';
import {createEndpointHealth, SILENT_AFTER_MS, type EndpointHealth} from '../../src/links/endpoint-health.js';

describe('the health of an endpoint', () => {
	function doTest(name: string, play: (health: EndpointHealth) => void, at: number, expected: string | undefined) {
		it(name, () => {
			const health = createEndpointHealth();
			play(health);
			expect(health.getSuspicion(at)).to.equal(expected);
		});
	}

	doTest('nothing is held against one that was never asked', () => undefined, 10_000, undefined);
	doTest('it may take its time to answer', health => {
		health.noteAsked(0);
	}, SILENT_AFTER_MS, undefined);
	doTest('it is silent after that', health => {
		health.noteAsked(0);
	}, SILENT_AFTER_MS + 1, 'silent');
	doTest('a later question does not start the time anew', health => {
		health.noteAsked(0);
		health.noteAsked(600);
	}, SILENT_AFTER_MS + 1, 'silent');
	doTest('an answer on any connection starts it anew', health => {
		health.noteAsked(0);
		health.noteHeard(600);
	}, SILENT_AFTER_MS + 1, undefined);
	doTest('one that owes nothing may be silent', health => {
		health.noteAsked(0);
		health.noteHeard(5);
		health.noteNothingOpen();
	}, 10_000, undefined);
	doTest('a refused connection tells at once', health => {
		health.noteRefused(0);
	}, 0, 'refused');
	doTest('until it is heard again', health => {
		health.noteRefused(0);
		health.noteHeard(1);
	}, 1, undefined);
});
