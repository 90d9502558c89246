/** What became of an order to promote. */
export const OrderOutcome = {
	/** The endpoint will lead the next term, some hundred milliseconds later; or it leads already. */
	Accepted: 'accepted',
	/** The endpoint is not running. */
	NotRunning: 'not-running',
	/** The platform takes no orders at this moment; nothing was done. */
	Refused: 'refused',
	/** No answer came: the order may have been taken. */
	Unknown: 'unknown',
} as const;

/** One of the outcomes in {@link OrderOutcome}. */
export type OrderOutcome = typeof OrderOutcome[keyof typeof OrderOutcome];

/**
 * An order that was accepted has taken effect within this time, in milliseconds; promotions take 600 to 1,000. Before that, a former primary
 * may say that it leads while another is about to.
 */
export const ORDER_EFFECT_MS = 1500;

/** An order to make an endpoint the primary of its group. */
export type PromotionOrder = {
	readonly group: string;
	readonly endpointId: string;
	/** Host that holds the duty. */
	readonly holder: string;
	/** Fencing token of the duty: it never falls, and no two holders share one. */
	readonly token: number;
};

/** Gives orders to the platform. */
export type PromotionOrders = {
	promote(order: PromotionOrder, timeoutMs: number): Promise<OrderOutcome>;
};
