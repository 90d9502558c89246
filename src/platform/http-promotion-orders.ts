import {OrderOutcome, type PromotionOrders} from '../leadership/promotion-orders.js';
import {createHttpExchanger} from '../object-store/http-exchange.js';
import {PlatformError} from '../object-store/platform-errors.js';
import type {Clock} from '../time/clock.js';
import {getServerId} from './endpoint-identity.js';

/** What the client needs. */
export type HttpPromotionOrdersOptions = {
	/** `ip:port` where the platform takes orders. */
	readonly address: string;
	readonly clock: Clock;
	/** Told of each call and how it ended, for the metrics. */
	onCall(call: string, result: string): void;
};

const OUTCOMES = new Map<number, OrderOutcome>([[200, OrderOutcome.Accepted], [409, OrderOutcome.NotRunning]]);

/** Creates the client by which a primary is replaced. */
export function createHttpPromotionOrders({address, clock, onCall}: HttpPromotionOrdersOptions): PromotionOrders {
	const exchanger = createHttpExchanger({baseUrl: `http://${address}`, clock});

	return {
		async promote({group, endpointId, holder, token}, timeoutMs) {
			try {
				const res = await exchanger.exchange({
					what: `promote ${endpointId}`,
					method: 'POST',
					path: '/promote',
					body: {backend: group, id: getServerId(endpointId)},
					headers: {'X-Aldercroft-Lease-Holder': holder, 'X-Aldercroft-Fencing-Token': String(token)},
					timeoutMs,
				});
				onCall('promote', String(res.status));
				return OUTCOMES.get(res.status) ?? OrderOutcome.Refused;
			} catch (err) {
				onCall('promote', 'no answer');
				if (err instanceof PlatformError) {
					return OrderOutcome.Unknown;
				}

				throw err;
			}
		},
	};
}
