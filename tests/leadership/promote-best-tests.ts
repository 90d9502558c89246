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

/** What an endpoint shows in answer to a status, or nothing while it stands still. */
type Shown = {role: 'primary' | 'replica'; term: number; silentUntil: number};

type Stage = {
	readonly endpoints: Record<string, Shown>;
	/** The present primary, which leads on where nobody else can. */
	readonly former?: string;
	/** Endpoints that are candidates, the furthest first. */
	readonly candidates?: readonly string[];
	/** What becomes of the order with that number, from 0; `later` is the time of a promotion. */
	order(number: number, endpointId: string, later: (action: () => void) => void): OrderOutcome;
	readonly phase?: 'steady' | 'changing';
};

/** Promotes the best of `x` and `y`, of which `x` is further; tells which was taken to lead, in which term, and the orders. */
async function promote({endpoints, order, phase = 'steady', former, candidates = ['x', 'y']}: Stage): Promise<{readonly leads: string; readonly orders: readonly string[]; readonly tookMs: number}> {
	const clock = createVirtualClock(0);
	const orders: string[] = [];
	const makeStatus = ({role, term}: Shown, position: number): EndpointStatus => ({
		role, term, received: {term: 1, position}, fencedTerm: 0, lagMs: 0, busy: 0, connections: 0,
	});
	const getPosition = (endpointId: string) => 9 - Math.max(0, candidates.indexOf(endpointId));
	const ask = async (endpointId: string) => {
		const shown = endpoints[endpointId]!;
		if (clock.now() < shown.silentUntil) {
			throw createLinkLost(endpointId, 'it stands still');
		}

		return makeStatus(shown, getPosition(endpointId));
	};

	const parts = {
		clock,
		log: createSilentLog(),
		hostName: 'entry-1',
		duty: {getToken: () => 1, take: async () => true, getOtherHolder: () => undefined},
		directory: {get: (endpointId: string) => ({pool: {ask: async () => ask(endpointId)}})},
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

const lead = (shown: Shown, term: number) => {
	shown.role = 'primary';
	shown.term = term;
};

describe('promoting the best candidate', () => {
	const make = (role: 'primary' | 'replica', term: number, silentUntil = 0): Shown => ({role, term, silentUntil});

	it('takes it to lead as soon as it shows the next term', async () => {
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
	 * A replica is ordered to lead and stands still, unseen; so does the second, which leads the term after. The first goes on, still
	 * calls itself primary, and the order that was to make it so again is lost. A member's night written there would be lost.
	 */
	it('does not take the effect of an order before another\'s for that of its own', async () => {
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

	/** The same, but the third order was taken: the first replica shows a term that it did not show just before. */
	it('takes a term that rose after the order for its effect', async () => {
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
	 * A primary is to leave. Its successor was ordered to lead, and crashes once it does, unseen. The former primary, asked to lead on, still
	 * calls itself primary of its old term, in which nothing that it commits will last.
	 */
	it('does not take the former primary to lead on in its term once another was ordered', async () => {
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

	it('lets the former primary lead on at once where nobody else was ordered', async () => {
		const {leads, tookMs} = await promote({
			endpoints: {p: make('primary', 1)}, candidates: [], former: 'p', order: () => OrderOutcome.Accepted,
		});
		expect([leads, tookMs < 200]).to.deep.equal(['p 1', true]);
	});

	/** A host died after it had ordered a replica to lead. The next host orders the same, which changes nothing. */
	it('takes one that led before to lead on once an order has left it in its term', async () => {
		const x = make('primary', 2);
		const {leads, orders, tookMs} = await promote({endpoints: {x, y: make('replica', 1)}, phase: 'changing', order: () => OrderOutcome.Accepted});
		expect([leads, orders, tookMs >= PROMOTE_MS && tookMs < 2000]).to.deep.equal(['x 2', ['x accepted'], true]);
	});

	/** The same, without an answer to the order: whether another leads a later term is not known. */
	it('does not take one that led before to lead on where the order brought no answer', async () => {
		const x = make('primary', 2);
		const {leads} = await promote({endpoints: {x, y: make('replica', 1)}, phase: 'changing', order: () => OrderOutcome.Unknown});
		expect(leads).to.equal('nobody');
	});
});
