import {EndpointRole} from '../endpoints/endpoint.js';
import {EndpointOrder, getMajority, type GroupConfig} from '../groups/group-config.js';
import type {EndpointRow} from './fleet-view.js';

/** An order to judge. */
export type OrderQuestion = {
	readonly cfg: GroupConfig;
	readonly endpoint: string;
	readonly order: EndpointOrder;
	/** What the owners see of the group's endpoints. */
	readonly rows: readonly EndpointRow[];
};

/**
 * Tells why an order cannot be given, undefined where it can.
 *
 * Guards against a planned stop that stops the group: an endpoint that drains or is stopped no longer counts, neither
 * does one that no owner reaches, and what is left must be a majority with a target for the primary's role.
 */
export function judgeOrder({cfg, endpoint, order, rows}: OrderQuestion): string | undefined {
	if (order === EndpointOrder.Serve) {
		return undefined;
	}

	const left = cfg.endpoints.filter(other => other.name !== endpoint && other.order === EndpointOrder.Serve);
	const missing = left.map(other => getTrouble(other.name, rows)).filter(trouble => trouble !== undefined);
	const isPrimary = findPrimary(rows)?.name === endpoint;
	const remaining = left.length - missing.length;
	const others = cfg.endpoints.filter(other => other.name !== endpoint && other.order !== EndpointOrder.Serve);
	const causes = [...others.map(other => `${other.name} ${describeOrder(other.order)}`), ...missing];
	const because = causes.length > 0 ? `: ${causes.join(', ')}` : '';
	if (isPrimary && remaining === 0) {
		return `${endpoint} is the primary, and no endpoint is left to take over${because}`;
	}

	const majority = getMajority(cfg);
	return remaining < majority
		? `${remaining} of ${cfg.endpoints.length} endpoints would be left, and a majority is ${majority}${because}`
		: undefined;
}

/**
 * The row of a group's primary, undefined where none is seen.
 *
 * A superseded primary that is cut off may still show itself as one, so the highest term decides.
 */
export function findPrimary(rows: readonly EndpointRow[]): EndpointRow | undefined {
	return rows
		.filter(row => row.role === EndpointRole.Primary)
		.toSorted((left, right) => (right.term ?? 0) - (left.term ?? 0))[0];
}

/** An order as an endpoint's state: `serves`, `drains`, `is stopped`. */
export function describeOrder(order: EndpointOrder): string {
	const states = {
		[EndpointOrder.Serve]: 'serves',
		[EndpointOrder.Drain]: 'drains',
		[EndpointOrder.Stop]: 'is stopped',
	};
	return states[order];
}

function getTrouble(name: string, rows: readonly EndpointRow[]): string | undefined {
	const row = rows.find(other => other.name === name);
	if (!row?.seen) {
		return `${name} was seen by no owner`;
	}

	if (!row.reachable) {
		return `${name} gives no answer`;
	}

	return row.leaving ? `${name} is leaving` : undefined;
}
