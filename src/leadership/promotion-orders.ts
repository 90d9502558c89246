/** The outcome of a promotion order. */
export const OrderOutcome = {
	/** The endpoint will be primary in the next term, some hundred milliseconds later; or it is primary already. */
	Accepted: 'accepted',
	/** The endpoint is not running. */
	NotRunning: 'not-running',
	/** The platform accepts no orders at the moment; nothing was done. */
	Refused: 'refused',
	/** No response arrived: the order may have been accepted. */
	Unknown: 'unknown',
} as const;

/** One of the outcomes in {@link OrderOutcome}. */
export type OrderOutcome = typeof OrderOutcome[keyof typeof OrderOutcome];

/**
 * An accepted order has taken effect within this time, in milliseconds; promotions take 600 to 1,000. Before that, a former primary
 * may report itself as primary while another endpoint is being promoted.
 */
export const ORDER_EFFECT_MS = 1500;

/** Timeout of a promotion order, in milliseconds; the response usually takes 13. */
export const ORDER_TIMEOUT_MS = 600;

/** An order to make an endpoint the primary of its group. */
export type PromotionOrder = {
	readonly group: string;
	readonly endpointId: string;
	/** Host that holds the failover lease. */
	readonly holder: string;
	/** Fencing token of the failover lease: it never decreases, and no two holders share one. */
	readonly token: number;
};

/** Sends promotion orders to the platform. */
export type PromotionOrders = {
	promote(order: PromotionOrder, timeoutMs: number): Promise<OrderOutcome>;
};
