import {EndpointRole} from '../endpoints/endpoint.js';
import {EndpointOrder, getMajority, type GroupConfig} from '../groups/group-config.js';
import type {EndpointRow} from './fleet-view.js';

/** An order with the state of its group, for {@link validateOrder}. */
export type OrderToValidate = {
	readonly cfg: GroupConfig;
	readonly endpoint: string;
	readonly order: EndpointOrder;
	/** The group's endpoints as their owners see them. */
	readonly rows: readonly EndpointRow[];
};

/**
 * Returns the reason why an order cannot be given; undefined where it can.
 *
 * Guards against a planned stop that stops the whole group. Endpoints that drain, are stopped, are leaving or are
 * reached by no owner do not count. The remaining ones must be a majority, and one of them must be able to take over
 * if the order is for the primary.
 */
export function validateOrder({cfg, endpoint, order, rows}: OrderToValidate): string | undefined {
	if (order === EndpointOrder.Serve) {
		return undefined;
	}

	const left = cfg.endpoints.filter(other => other.name !== endpoint && other.order === EndpointOrder.Serve);
	const missing = left.map(other => getFault(other.name, rows)).filter(fault => fault !== undefined);
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
 * Returns the row of a group's primary; undefined where no owner sees one.
 *
 * A superseded primary that is cut off may still report itself as primary, so the one with the highest term is returned.
 */
export function findPrimary(rows: readonly EndpointRow[]): EndpointRow | undefined {
	return rows
		.filter(row => row.role === EndpointRole.Primary)
		.toSorted((left, right) => (right.term ?? 0) - (left.term ?? 0))[0];
}

/** Describes an order as the endpoint's state: `serves`, `drains`, `is stopped`. */
export function describeOrder(order: EndpointOrder): string {
	const states = {
		[EndpointOrder.Serve]: 'serves',
		[EndpointOrder.Drain]: 'drains',
		[EndpointOrder.Stop]: 'is stopped',
	};
	return states[order];
}

function getFault(name: string, rows: readonly EndpointRow[]): string | undefined {
	const row = rows.find(other => other.name === name);
	if (!row?.seen) {
		return `${name} was seen by no owner`;
	}

	if (!row.reachable) {
		return `${name} gives no answer`;
	}

	return row.leaving ? `${name} is leaving` : undefined;
}
