import process from 'node:process';
import {expect} from 'chai';
import * as fc from 'fast-check';
import {
	fromNeededOnWire, fromRequestOnWire, isKnownToEveryVersion, toNeededOnWire, toRequestOnWire, type NeededOnWire, type RequestOnWire,
} from '../../src/connection-sharing/prepared-on-wire.js';
import {createRemoteLink} from '../../src/connection-sharing/remote-link.js';
import {createSessionLink, type SessionRequest} from '../../src/links/link-session.js';
import {createCallError, UNKNOWN_KIND_REASON} from '../../src/peers/peer-errors.js';
import type {Peers} from '../../src/peers/peers.js';
import {Access, type PreparedShape} from '../../src/statements/statement.js';
import {createLineEndpoint} from '../links/line-endpoint.js';

const text = fc.array(fc.oneof(
	fc.constantFrom('WRITE', 'qf', 'w_qf', ' ', '\t', '\n', '\0', '\u00FF'),
	fc.integer({min: 0, max: 255}).map(byte => String.fromCodePoint(byte)),
), {minLength: 1, maxLength: 6}).map(parts => parts.join(''));
const prepared = fc.record({access: fc.constantFrom(Access.Read, Access.Write), shape: text});
const args = fc.option(fc.oneof(text, fc.constant('')), {nil: undefined});

const toExecute = (given: string | undefined): SessionRequest => ({id: 'c1', command: {kind: 'execute', args: given}});

const getExpected = ({access, shape}: PreparedShape, given: string | undefined) => ({
	id: 'c1', access: access === Access.Read ? 'READ' : 'WRITE', shape, args: given,
});

/** Runs a request as a pool host of an earlier version: under the name that the request carries, with blank arguments left out. */
async function runAtEarlierPoolHost(request: RequestOnWire, needed: NeededOnWire) {
	const endpoint = createLineEndpoint();
	const {access, shape} = needed.prepared!;
	await endpoint.link.exchange({command: {kind: 'prepare', name: `${access === Access.Read ? 'r' : 'w'}_${shape}`, shape: needed.prepared!}});
	const command = request.command.kind === 'execute' && request.command.args === '' ? {...request.command, args: undefined} : request.command;
	await endpoint.link.exchange({...request, command});
	return endpoint.executed;
}

async function runAtPoolHost(request: RequestOnWire, needed: NeededOnWire) {
	const endpoint = createLineEndpoint();
	await createSessionLink(endpoint.link, {address: '10.1.0.9:8080'}).exchange(fromRequestOnWire(request), fromNeededOnWire(needed));
	return endpoint.executed;
}

/** Sends one statement on a checkout at a pool host that knows only the calls of earlier versions. */
async function sendToEarlierPoolHost(shape: string, given: string | undefined) {
	const calls: string[] = [];
	const peers = {
		async call(address: string, kind: string, req: {readonly cut?: boolean}) {
			calls.push(req.cut === undefined ? kind : `${kind} ${req.cut ? 'cut' : 'kept'}`);
			if (kind.endsWith('-shape')) {
				throw createCallError(address, kind, UNKNOWN_KIND_REASON, false);
			}

			return {};
		},
	} as unknown as Peers;
	const link = createRemoteLink({
		peers, poolHost: '10.1.0.8:7000', checkoutId: 'l1', single: true, onReceived() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	});
	const answer = await link.exchange(toExecute(given), {values: new Map(), prepared: {access: Access.Write, shape}}).catch((err: unknown) => (err as Error).name);
	const code = typeof answer === 'object' && answer.end.kind === 'error' ? answer.end.code : undefined;
	return {outcome: code ?? answer, calls};
}

/** In a rolling replacement, hosts of both versions use each other's connections. */
describe('a prepared statement between hosts of two versions', () => {
	const parameters = {seed: 66, numRuns: Number(process.env.PROPERTY_RUNS ?? 500)};

	/** A remote host of an earlier version sends a name that a blank of the shape cuts in two. */
	it('runs as it was sent where the remote host is the earlier one', async () => {
		await fc.assert(fc.asyncProperty(prepared, text, async (shape, given) => {
			const request = {id: 'c1', command: {kind: 'execute', name: `w_${shape.shape}`, args: given}} as const;
			expect(await runAtPoolHost(request, {values: [], prepared: shape})).to.deep.equal([getExpected(shape, given)]);
		}), parameters);
	});

	it('runs as it was sent where both hosts are of this version', async () => {
		await fc.assert(fc.asyncProperty(prepared, args, async (shape, given) => {
			const ran = await runAtPoolHost(toRequestOnWire(toExecute(given), shape), toNeededOnWire({values: new Map(), prepared: shape}));
			expect(ran).to.deep.equal([getExpected(shape, given)]);
		}), parameters);
	});

	it('runs as it was sent where the pool host is the earlier one and can run it', async () => {
		await fc.assert(fc.asyncProperty(prepared, args, async (shape, given) => {
			const request = toExecute(given);
			fc.pre(isKnownToEveryVersion(request, shape));
			const ran = await runAtEarlierPoolHost(toRequestOnWire(request, shape), {values: [], prepared: shape});
			expect(ran).to.deep.equal([getExpected(shape, given)]);
		}), parameters);
	});

	function doTest(name: string, shape: string, given: string | undefined, expected: {readonly outcome: string; readonly calls: readonly string[]}) {
		it(name, async () => {
			expect(await sendToEarlierPoolHost(shape, given)).to.deep.equal(expected);
		});
	}

	const notRun = {outcome: 'overloaded', calls: ['loan-exchange-shape', 'loan-end kept']};
	doTest('is not run where the pool host is the earlier one and the shape holds a blank', 'qf WRITE ve', '1a4', notRun);
	doTest('is not run where the pool host is the earlier one and would drop a blank', 'qf', '', notRun);
	doTest('is not run where the pool host is the earlier one and its name would be too long', 'qf', 'x'.repeat(1_048_000), notRun);
	doTest('is sent as ever where every version can run it', 'qf', '1a4', {outcome: 'LinkLostError', calls: ['loan-exchange']});
});
