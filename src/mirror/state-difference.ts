import {isDeepStrictEqual} from 'node:util';
import type {FailoverLeaseRecord, HostRecord, LeadershipRecord} from '../leadership/leadership-record.js';
import type {
	RegisteredEndpoint, Route, RoutedGroup, Routing,
} from '../routes/routing.js';
import type {Workspace} from '../workspaces/workspace.js';
import {EMPTY_PART, getContentsId, type ContentsId} from './contents-id.js';
import {EMPTY_STATE, type MirrorState, type Versioned} from './mirror-state.js';

/** The difference between two lists of named items. */
export type ItemsDifference<T> = {
	/** Items that are new or have changed. */
	readonly changed: readonly T[];
	/** Names of items that were removed. */
	readonly removed: readonly string[];
};

/** A part of a difference, with the identifier of the part that it is relative to. */
type FromPart<T, Id = string> = T & {readonly from: Id};

/** The difference that turns one copy's contents into another's; parts that are equal are omitted. */
export type StateDifference = {
	/** Identifier of the resulting contents. */
	readonly to: ContentsId;
	readonly routing?: FromPart<{
		readonly version: number;
		readonly idleTransactionMs: number;
		readonly routes: ItemsDifference<Route>;
		readonly groups: ItemsDifference<RoutedGroup>;
		readonly workspaces: ItemsDifference<Workspace>;
	}, number>;
	readonly endpoints?: FromPart<ItemsDifference<RegisteredEndpoint>>;
	readonly leadership?: FromPart<ItemsDifference<Versioned<LeadershipRecord>> & {readonly duty?: Versioned<FailoverLeaseRecord>}>;
	readonly hosts?: FromPart<ItemsDifference<Versioned<HostRecord>>>;
};

const getRouteName = ({database}: Route) => database;
const getName = ({name}: {readonly name: string}) => name;
const getEndpointName = ({id}: RegisteredEndpoint) => id;
const getGroup = ({group}: LeadershipRecord) => group;

/** Returns the difference between two states, part by part; parts with equal identifiers are omitted. */
export function getStateDifference(base: MirrorState, baseId: ContentsId, next: MirrorState, to: ContentsId): StateDifference {
	return {
		to,
		...(baseId.routing !== to.routing && next.routing && {routing: {from: baseId.routing, ...compareRouting(base.routing, next.routing)}}),
		...(baseId.endpoints !== to.endpoints && {endpoints: {from: baseId.endpoints, ...compareItems(base.endpoints, next.endpoints, getEndpointName)}}),
		...(baseId.leadership !== to.leadership && {
			leadership: {from: baseId.leadership, ...compareItems([...base.leadership.values()], [...next.leadership.values()], getGroup), duty: next.duty},
		}),
		...(baseId.hosts !== to.hosts && {hosts: {from: baseId.hosts, ...compareItems(base.hosts, next.hosts, getName)}}),
	};
}

/**
 * Applies a difference and returns a state that is complete up to `revision`; undefined if the difference is relative to other contents, or its result does not match the identifier in `to`.
 *
 * Guards against a copy that mixes parts of two states: after a lost, duplicated or late message the identifiers do not match.
 */
export function applyStateDifference(base: MirrorState, baseId: ContentsId, difference: StateDifference, revision: number): MirrorState | undefined {
	const parts = [
		[difference.routing?.from, baseId.routing, 0],
		[difference.endpoints?.from, baseId.endpoints, EMPTY_PART],
		[difference.leadership?.from, baseId.leadership, EMPTY_PART],
		[difference.hosts?.from, baseId.hosts, EMPTY_PART],
	] as const;
	if (!parts.every(([from, held, empty]) => from === undefined || from === held || from === empty)) {
		return undefined;
	}

	const from = <Part extends keyof ContentsId>(part: Part) => difference[part]?.from === baseId[part] ? base : EMPTY_STATE;
	const {routing, endpoints, leadership, hosts} = difference;
	const next: MirrorState = {
		...base,
		revision,
		...(routing && {routing: applyRouting(from('routing').routing, routing)}),
		...(endpoints && {endpoints: applyItems(from('endpoints').endpoints, endpoints, getEndpointName)}),
		...(leadership && {
			leadership: new Map(applyItems([...from('leadership').leadership.values()], leadership, getGroup).map(record => [record.group, record])),
			duty: leadership.duty,
		}),
		...(hosts && {hosts: applyItems(from('hosts').hosts, hosts, getName)}),
	};
	return isDeepStrictEqual(getContentsId(next), difference.to) ? next : undefined;
}

function compareRouting(base: Routing | undefined, next: Routing) {
	return {
		version: next.version,
		idleTransactionMs: next.idleTransactionMs,
		routes: compareItems([...base?.routes.values() ?? []], [...next.routes.values()], getRouteName),
		groups: compareItems([...base?.groups.values() ?? []], [...next.groups.values()], getName),
		workspaces: compareItems([...base?.workspaces.values() ?? []], [...next.workspaces.values()], getName),
	};
}

function applyRouting(base: Routing | undefined, {version, idleTransactionMs, routes, groups, workspaces}: NonNullable<StateDifference['routing']>): Routing {
	return {
		version,
		idleTransactionMs,
		routes: new Map(applyItems([...base?.routes.values() ?? []], routes, getRouteName).map(route => [route.database, route])),
		groups: new Map(applyItems([...base?.groups.values() ?? []], groups, getName).map(group => [group.name, group])),
		workspaces: new Map(applyItems([...base?.workspaces.values() ?? []], workspaces, getName).map(workspace => [workspace.name, workspace])),
	};
}

function compareItems<T>(base: readonly T[], next: readonly T[], getItemName: (item: T) => string): ItemsDifference<T> {
	const known = new Map(base.map(item => [getItemName(item), item]));
	const names = new Set(next.map(item => getItemName(item)));
	return {
		changed: next.filter(item => !isSame(known.get(getItemName(item)), item)),
		removed: [...known.keys()].filter(name => !names.has(name)),
	};
}

function isSame(left: unknown, right: unknown): boolean {
	return left === right || isDeepStrictEqual(left, right);
}

function applyItems<T>(base: readonly T[], {changed, removed}: ItemsDifference<T>, getItemName: (item: T) => string): readonly T[] {
	const items = new Map(base.map(item => [getItemName(item), item]));
	for (const name of removed) {
		items.delete(name);
	}

	for (const item of changed) {
		items.set(getItemName(item), item);
	}

	return [...items.values()];
}
