import {OrderOutcome, type PromotionOrders} from '../leadership/promotion-orders.js';
import {createHttpClient} from '../object-store/http-client.js';
import {PlatformError} from '../object-store/platform-errors.js';
import type {Clock} from '../time/clock.js';
import {getServerId} from './endpoint-identity.js';
import {formatLineField} from './line-field.js';

/** Options of the client. */
export type HttpPromotionOrdersOptions = {
	/** `ip:port` of the platform's service that promotes servers. */
	readonly address: string;
	readonly clock: Clock;
	/** Called after each call with its result, for the metrics. */
	onCall(call: string, result: string): void;
};

const OUTCOMES = new Map<number, OrderOutcome>([[200, OrderOutcome.Accepted], [409, OrderOutcome.NotRunning]]);

/** Creates the HTTP client that orders the platform to promote a server to primary. */
export function createHttpPromotionOrders({address, clock, onCall}: HttpPromotionOrdersOptions): PromotionOrders {
	const httpClient = createHttpClient({baseUrl: `http://${address}`, clock});

	return {
		async promote({group, endpointId, holder, token}, timeoutMs) {
			try {
				const res = await httpClient.exchange({
					what: `promote ${endpointId}`,
					method: 'POST',
					path: '/promote',
					body: {backend: group, id: getServerId(endpointId)},
					headers: {'X-Aldercroft-Lease-Holder': formatLineField(holder), 'X-Aldercroft-Fencing-Token': String(token)},
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
