import {expect} from 'chai';
import {createEndpointHealth, SILENT_AFTER_MS, type EndpointHealth} from '../../src/links/endpoint-health.js';

describe('the health of an endpoint', () => {
	function doTest(name: string, act: (health: EndpointHealth) => void, at: number, expected: string | undefined) {
		it(name, () => {
			const health = createEndpointHealth();
			act(health);
			expect(health.getSuspicion(at)).to.equal(expected);
		});
	}

	doTest('is not suspect where no request was sent', () => undefined, 10_000, undefined);
	doTest('is not suspect while an answer may still come', health => {
		health.noteSent(0);
	}, SILENT_AFTER_MS, undefined);
	doTest('is silent after that', health => {
		health.noteSent(0);
	}, SILENT_AFTER_MS + 1, 'silent');
	doTest('is silent where a later request was sent in the meantime', health => {
		health.noteSent(0);
		health.noteSent(600);
	}, SILENT_AFTER_MS + 1, 'silent');
	doTest('is not suspect where an answer came in the meantime on any connection', health => {
		health.noteSent(0);
		health.noteReceived(600);
	}, SILENT_AFTER_MS + 1, undefined);
	doTest('is not suspect where nothing is received and no request is pending', health => {
		health.noteSent(0);
		health.noteReceived(5);
		health.noteNothingPending();
	}, 10_000, undefined);
	doTest('is refused as soon as a connection is refused', health => {
		health.noteRefused(0);
	}, 0, 'refused');
	doTest('is not suspect once something is received after a refused connection', health => {
		health.noteRefused(0);
		health.noteReceived(1);
	}, 1, undefined);
});
