import {expect} from 'chai';
import {promoteBestCandidate} from '../../src/leadership/promote-best.js';
import {OrderOutcome} from '../../src/leadership/promotion-orders.js';
import type {ReplacePrimaryParts} from '../../src/leadership/replace-parts.js';
import type {EndpointStatus} from '../../src/links/endpoint-link.js';
import {createLinkLost} from '../../src/links/link-errors.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

/** An accepted order takes effect after that time, in milliseconds. */
const PROMOTE_MS = 800;

/** What an endpoint reports to a status request; it does not respond before `silentUntil`. */
type Reported = {role: 'primary' | 'replica'; term: number; silentUntil: number};

type Setup = {
	readonly endpoints: Record<string, Reported>;
	/** The present primary, which remains primary if no other endpoint can be promoted. */
	readonly former?: string;
	/** Endpoints that are candidates, furthest log first. */
	readonly candidates?: readonly string[];
	/** Returns the outcome of the order with that number, from 0; `later` runs an action after the duration of a promotion. */
	order(number: number, endpointId: string, later: (action: () => void) => void): OrderOutcome;
	readonly phase?: 'steady' | 'changing';
};

/** Promotes the best of `x` and `y`, of which `x` has the further log; returns the endpoint accepted as primary with its term, the orders and the duration. */
async function promote({endpoints, order, phase = 'steady', former, candidates = ['x', 'y']}: Setup): Promise<{readonly leads: string; readonly orders: readonly string[]; readonly tookMs: number}> {
	const clock = createVirtualClock(0);
	const orders: string[] = [];
	const makeStatus = ({role, term}: Reported, position: number): EndpointStatus => ({
		role, term, received: {term: 1, position}, fencedTerm: 0, lagMs: 0, busy: 0, connections: 0,
	});
	const getPosition = (endpointId: string) => 9 - Math.max(0, candidates.indexOf(endpointId));
	const ask = async (endpointId: string) => {
		const reported = endpoints[endpointId]!;
		if (clock.now() < reported.silentUntil) {
			throw createLinkLost(endpointId, 'it does not respond');
		}

		return makeStatus(reported, getPosition(endpointId));
	};

	const parts = {
		clock,
		log: createSilentLog(),
		hostName: 'entry-1',
		failoverLease: {
			getToken: () => 1, take: async () => true, giveOrder: async (_ms: number, give: (token: number) => Promise<OrderOutcome>) => give(1), getOtherHolder: () => undefined,
		},
		directory: {get: (endpointId: string) => ({pool: {sendCommand: async () => ask(endpointId)}})},
		orders: {
			async promote({endpointId}: {readonly endpointId: string}) {
				await clock.sleep(10);
				const outcome = order(orders.length, endpointId, action => {
					void clock.sleep(PROMOTE_MS).then(action);
				});
				orders.push(`${endpointId} ${outcome}`);
				return outcome;
			},
		},
	} as unknown as ReplacePrimaryParts;
	const makeCandidate = (endpointId: string) => ({endpointId, leaving: false, status: makeStatus(endpoints[endpointId]!, getPosition(endpointId))});
	const before = {
		group: 'nights', primaryId: 'p', term: 1, epoch: 1, phase, start: {term: 1, position: 0}, changedBy: 'entry-1',
	};
	const leading = await clock.runUntil(promoteBestCandidate(parts, {
		candidates: candidates.map(id => makeCandidate(id)), former: former === undefined ? [] : [makeCandidate(former)],
	}, before, 12_000));
	return {leads: leading ? `${leading.endpointId} ${leading.status.term}` : 'nobody', orders, tookMs: clock.now()};
}

const lead = (reported: Reported, term: number) => {
	reported.role = 'primary';
	reported.term = term;
};

describe('promoting the best candidate', () => {
	const make = (role: 'primary' | 'replica', term: number, silentUntil = 0): Reported => ({role, term, silentUntil});

	it('accepts the endpoint as primary as soon as it reports the next term', async () => {
		const x = make('replica', 1);
		const {leads, orders, tookMs} = await promote({
			endpoints: {x, y: make('replica', 1)},
			order() {
				lead(x, 2);
				return OrderOutcome.Accepted;
			},
		});
		expect([leads, orders, tookMs < 200]).to.deep.equal(['x 2', ['x accepted'], true]);
	});

	/**
	 * A replica is ordered to be promoted and does not respond. The second, ordered next, does not either, and is primary of the following term.
	 * The first responds again and still reports itself as primary, while the third order, which should promote it again, is lost. A write there would be lost.
	 */
	it('does not accept the effect of an earlier order after another endpoint was ordered', async () => {
		const x = make('replica', 1, 4000);
		const y = make('replica', 1, 9000);
		const {leads, orders} = await promote({
			endpoints: {x, y},
			order(number, endpointId) {
				if (number === 2) {
					return OrderOutcome.Unknown;
				}

				const highest = Math.max(x.term, y.term);
				if (endpointId === 'x') {
					lead(x, highest + 1);
				} else if (y.role !== 'primary') {
					lead(y, highest + 1);
				}

				return OrderOutcome.Accepted;
			},
		});
		expect([leads, orders.slice(0, 3)]).to.deep.equal(['y 3', ['x accepted', 'y accepted', 'x unknown']]);
	});

	/** The same, but the third order was accepted: the first replica reports a later term than just before it. */
	it('accepts a term that increased after the order as its effect', async () => {
		const x = make('replica', 1, 4000);
		const y = make('replica', 1, 60_000);
		const {leads, orders} = await promote({
			endpoints: {x, y},
			order(number, endpointId) {
				lead(endpointId === 'x' ? x : y, number + 2);
				return OrderOutcome.Accepted;
			},
		});
		expect([leads, orders]).to.deep.equal(['x 4', ['x accepted', 'y accepted', 'x accepted']]);
	});

	/**
	 * A primary is leaving. Its successor was ordered to be promoted and crashes right afterwards, before it has responded. The former primary, ordered to remain
	 * primary, still reports its old term, in which all that it commits will be lost.
	 */
	it('does not accept the former primary in its old term once another endpoint was ordered', async () => {
		const p = make('primary', 1);
		const x = make('replica', 1, 60_000);
		const {leads, orders} = await promote({
			endpoints: {p, x},
			candidates: ['x'],
			former: 'p',
			order(number, _endpointId, later) {
				if (number === 1) {
					return OrderOutcome.NotRunning;
				}

				if (number === 2) {
					later(() => {
						lead(p, 3);
					});
				}

				return OrderOutcome.Accepted;
			},
		});
		expect([leads, orders]).to.deep.equal(['p 3', ['x accepted', 'x not-running', 'p accepted']]);
	});

	it('accepts the former primary in its term at once if no other endpoint was ordered', async () => {
		const {leads, tookMs} = await promote({
			endpoints: {p: make('primary', 1)}, candidates: [], former: 'p', order: () => OrderOutcome.Accepted,
		});
		expect([leads, tookMs < 200]).to.deep.equal(['p 1', true]);
	});

	/** A host died after it had ordered the promotion of a replica. The next host gives the same order, which changes nothing. */
	it('accepts an endpoint that was primary before once an order has left its term unchanged', async () => {
		const x = make('primary', 2);
		const {leads, orders, tookMs} = await promote({endpoints: {x, y: make('replica', 1)}, phase: 'changing', order: () => OrderOutcome.Accepted});
		expect([leads, orders, tookMs >= PROMOTE_MS && tookMs < 2000]).to.deep.equal(['x 2', ['x accepted'], true]);
	});

	/** The same without a response to the order: another endpoint may be primary of a later term. */
	it('does not accept an endpoint that was primary before if the order got no response', async () => {
		const x = make('primary', 2);
		const {leads} = await promote({endpoints: {x, y: make('replica', 1)}, phase: 'changing', order: () => OrderOutcome.Unknown});
		expect(leads).to.equal('nobody');
	});
});
