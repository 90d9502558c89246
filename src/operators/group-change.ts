import {
	DecisionKind, EVERY_FIELD, EXISTENCE_FIELD, type Change, type ChangeDecision,
} from '../audit/change.js';
import {OPERATORS_OBJECT, type GroupState} from '../audit/audited-kinds.js';
import {
	EndpointOrder, groupConfigSchema, type EndpointConfig, type GroupConfig,
} from '../groups/group-config.js';
import {
	CommandKind, type CreateGroupCommand, type GroupCommand, type OrderEndpointCommand, type PromoteEndpointCommand, type SetSharesCommand,
} from '../language/command.js';
import {describeOrder, findPrimary, validateOrder} from './endpoint-orders.js';
import type {EndpointRow} from './fleet-view.js';

type Decision = ChangeDecision<GroupState>;

/** The field that represents the primary's role in a group's changes. */
const PRIMARY_FIELD = 'primary';

/** Creates the change that a command makes to a group. */
export function createGroupChange(command: GroupCommand & {readonly group: string}, what: string, rows: readonly EndpointRow[]): Change<GroupState> {
	return {
		what,
		decide(current, now) {
			if (command.kind === CommandKind.CreateGroup) {
				return createGroup(command, current);
			}

			if (!current || current.deleted) {
				const state = current ? 'was deleted' : 'is not there';
				return refuse([EXISTENCE_FIELD], `the group ${command.group} ${state}`);
			}

			return decideOn(command, current, rows, now);
		},
	};
}

/** Creates the note that an order to promote was not carried out; it changes only the audit trail. */
export function createFailedPromotionNote(endpoint: string, reason: string): Change<GroupState> {
	return {
		what: `promote endpoint ${endpoint} failed: ${reason}`,
		decide: current => current
			? {
				kind: DecisionKind.Change, fields: [], state: current, from: {[PRIMARY_FIELD]: endpoint}, to: {[PRIMARY_FIELD]: null},
			}
			: refuse([EXISTENCE_FIELD], 'the group is not there'),
	};
}

type ChangeCommand = Exclude<GroupCommand, CreateGroupCommand>;

function decideOn(command: ChangeCommand, current: GroupState, rows: readonly EndpointRow[], now: number): Decision {
	switch (command.kind) {
		case CommandKind.DeleteGroup: {
			return {
				kind: DecisionKind.Change,
				fields: [EVERY_FIELD],
				state: {...current, deleted: true},
				from: {[EXISTENCE_FIELD]: true},
				to: {[EXISTENCE_FIELD]: false},
			};
		}

		case CommandKind.SetReadAge: {
			return setField(current, 'readAgeLimitMs', command.readAgeLimitMs);
		}

		case CommandKind.SetDurability: {
			return setField(current, 'durability', command.durability);
		}

		case CommandKind.SetOwners: {
			return setField(current, 'owners', command.owners);
		}

		case CommandKind.SetKeyRetention: {
			return setField(current, 'keyRetentionMs', command.keyRetentionMs);
		}

		case CommandKind.SetShares: {
			return setShares(command, current);
		}

		case CommandKind.OrderEndpoint: {
			return orderEndpoint(command, current, rows, now);
		}

		case CommandKind.PromoteEndpoint: {
			return promoteEndpoint(command, current, rows);
		}
	}
}

function createGroup({group, endpoints}: CreateGroupCommand, current: GroupState | undefined): Decision {
	const fields = [EXISTENCE_FIELD];
	if (current && !current.deleted) {
		return refuse(fields, `the group ${group} is there already`);
	}

	if (group === OPERATORS_OBJECT) {
		return refuse(fields, `the audit trail calls its own object ${OPERATORS_OBJECT}; take another name`);
	}

	const duplicate = findDuplicate(endpoints.flatMap(({name, address}) => [name, address]));
	if (duplicate !== undefined) {
		return refuse(fields, `two endpoints have ${duplicate}`);
	}

	const cfg = groupConfigSchema.safeParse({name: group, endpoints});
	return cfg.success
		? {
			kind: DecisionKind.Change,
			fields,
			state: {cfg: cfg.data, deleted: false},
			from: {[EXISTENCE_FIELD]: false},
			to: {[EXISTENCE_FIELD]: true, cfg: cfg.data},
		}
		: refuse(fields, cfg.error.issues[0]!.message);
}

function setField<K extends keyof GroupConfig>(current: GroupState, field: K, value: GroupConfig[K]): Decision {
	const {cfg} = current;
	const fields = [field];
	if (JSON.stringify(cfg[field]) === JSON.stringify(value)) {
		return {kind: DecisionKind.Unchanged, fields};
	}

	return {
		kind: DecisionKind.Change,
		fields,
		state: {...current, cfg: {...cfg, [field]: value}},
		from: {[field]: cfg[field]},
		to: {[field]: value},
	};
}

function setShares({shares}: SetSharesCommand, current: GroupState): Decision {
	const next = {...current.cfg.classShares, ...shares};
	const sum = Math.round((next.deadline + next.interactive + next.background) * 100);
	return sum > 100
		? refuse(['classShares'], `the shares would add up to ${sum}%, and 100% is all there is`)
		: setField(current, 'classShares', next);
}

function orderEndpoint(command: OrderEndpointCommand, current: GroupState, rows: readonly EndpointRow[], now: number): Decision {
	const {cfg} = current;
	const {endpoint, order} = command;
	const field = `order of ${endpoint}`;
	const before = cfg.endpoints.find(other => other.name === endpoint);
	if (!before) {
		return refuseUnknownEndpoint(cfg, endpoint);
	}

	if (before.order === order) {
		return {kind: DecisionKind.Unchanged, fields: [field]};
	}

	const reason = validateOrder({
		cfg, endpoint, order, rows,
	});
	if (reason !== undefined) {
		const others = cfg.endpoints.filter(other => other.order !== EndpointOrder.Serve);
		return refuse(others.map(other => `order of ${other.name}`), reason);
	}

	const after: EndpointConfig = {...before, order, orderedAt: now};
	const endpoints = cfg.endpoints.map(other => other.name === endpoint ? after : other);
	return {
		kind: DecisionKind.Change,
		fields: [field],
		state: {...current, cfg: {...cfg, endpoints}},
		from: {[field]: before.order},
		to: {[field]: order},
	};
}

/** Decides on the record of an order to promote, which the group's owners carry out afterwards. */
function promoteEndpoint({endpoint}: PromoteEndpointCommand, current: GroupState, rows: readonly EndpointRow[]): Decision {
	const fields = [PRIMARY_FIELD];
	const target = current.cfg.endpoints.find(other => other.name === endpoint);
	if (!target) {
		return refuseUnknownEndpoint(current.cfg, endpoint);
	}

	const primary = findPrimary(rows)?.name;
	if (primary === endpoint) {
		return {kind: DecisionKind.Unchanged, fields};
	}

	if (target.order !== EndpointOrder.Serve) {
		return refuse([`order of ${endpoint}`], `${endpoint} ${describeOrder(target.order)}`);
	}

	if (!rows.some(row => row.name === endpoint && row.reachable)) {
		return refuse(fields, `no owner reaches ${endpoint}`);
	}

	return {
		kind: DecisionKind.Change, fields, state: current, from: {[PRIMARY_FIELD]: primary ?? null}, to: {[PRIMARY_FIELD]: endpoint},
	};
}

function refuseUnknownEndpoint(cfg: GroupConfig, endpoint: string): Decision {
	const known = cfg.endpoints.map(other => other.name).join(', ');
	return refuse([], `the group ${cfg.name} has no endpoint ${endpoint}; it has ${known}`);
}

function refuse(fields: readonly string[], reason: string): Decision {
	return {kind: DecisionKind.Refuse, fields, reason};
}

function findDuplicate(texts: readonly string[]): string | undefined {
	return texts.find((text, index) => texts.indexOf(text) !== index);
}
