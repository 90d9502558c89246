import {groupKind, OPERATORS_OBJECT, operatorsKind} from '../audit/audited-kinds.js';
import {ChangeResult, type ChangeAuthor} from '../audit/change.js';
import {IN_FORCE_MS, type ChangeApplier} from '../audit/create-change-applier.js';
import type {Configuration} from '../configuration/configuration.js';
import {
	CommandKind, type GroupCommand, type OperatorCommand, type OrderEndpointCommand, type PromoteEndpointCommand,
} from '../language/command.js';
import {createRequestId} from '../random/request-id.js';
import type {Random} from '../random/random.js';
import type {Clock} from '../time/clock.js';
import {answerOk, answerRefused} from './answers.js';
import {describeChange} from './describe-change.js';
import type {FleetView, PromoteResult} from './fleet-view.js';
import {createGroupChange, createFailedPromotionNote} from './group-change.js';
import {createOperatorChange} from './operator-change.js';
import type {CommandAnswer} from './operator-commands.js';

const IN_FORCE = `In force everywhere within ${IN_FORCE_MS / 1000} s.`;

/** Dependencies of the commands that change something. */
export type ChangeCommandsOptions = {
	readonly changes: ChangeApplier;
	readonly configuration: Configuration;
	readonly fleet: FleetView;
	readonly clock: Clock;
	readonly random: Random;
};

/** Runs a command that changes a group. */
export async function runGroupCommand(command: GroupCommand, what: string, author: ChangeAuthor, options: ChangeCommandsOptions): Promise<CommandAnswer> {
	const found = findGroup(command, options.configuration);
	if ('refusal' in found) {
		return answerRefused(`Refused, nothing was changed: ${found.refusal}.`);
	}

	const {group} = found;
	const rows = isAboutEndpoint(command) ? await options.fleet.getEndpoints(group) : [];
	const answer = await options.changes.apply(groupKind, group, createGroupChange({...command, group}, what, rows), author);
	const described = describeChange(answer, author.changeId);
	if (answer.result !== ChangeResult.Applied) {
		return described;
	}

	if (answer.repeated) {
		return answerOk(`${described.text} What stands now: show changes of ${group}.`, described.data);
	}

	if (command.kind === CommandKind.PromoteEndpoint) {
		return promote(command, group, {author, described}, options);
	}

	const progress = command.kind === CommandKind.OrderEndpoint ? ` Progress: show endpoints of group ${group}.` : '';
	return answerOk(`${described.text} ${IN_FORCE}${progress}`, described.data);
}

/** Runs a command that changes the list of operators. */
export async function runOperatorCommand(command: OperatorCommand, what: string, author: ChangeAuthor, {changes}: ChangeCommandsOptions): Promise<CommandAnswer> {
	const answer = await changes.apply(operatorsKind, OPERATORS_OBJECT, createOperatorChange(command, what), author);
	return describeChange(answer, author.changeId);
}

type RecordedOrder = {readonly author: ChangeAuthor; readonly described: CommandAnswer};

// The order is recorded in the audit trail before it is carried out, so that a proxy that dies in between leaves an order
// without effect and never an effect without an order.
async function promote({endpoint}: PromoteEndpointCommand, group: string, {author, described}: RecordedOrder, options: ChangeCommandsOptions): Promise<CommandAnswer> {
	const answer = await tryPromote(group, endpoint, options.fleet);
	if (answer.promoted) {
		return answerOk(`${endpoint} is the primary. ${described.text}`, described.data);
	}

	const {changes, clock, random} = options;
	const changeId = createRequestId(clock.wall(), random);
	const note = createFailedPromotionNote(endpoint, answer.reason);
	const noted = await changes.apply(groupKind, group, note, {who: author.who, changeId});
	const trail = noted.result === ChangeResult.Applied ? 'The audit trail has the order and that it failed.' : 'The audit trail has the order, but not that it failed.';
	return answerRefused(`Refused, ${endpoint} was not promoted: ${answer.reason}. ${trail}`, {result: 'refused', reason: answer.reason, changeId: author.changeId});
}

async function tryPromote(group: string, endpoint: string, fleet: FleetView): Promise<PromoteResult> {
	try {
		return await fleet.promote(group, endpoint);
	} catch (err) {
		return {promoted: false, reason: `no answer came, and it may yet be carried out (${(err as Error).message})`};
	}
}

type FoundGroup = {readonly group: string} | {readonly refusal: string};

function findGroup(command: GroupCommand, configuration: Configuration): FoundGroup {
	if (!isAboutEndpoint(command) || command.group !== undefined) {
		return {group: command.group!};
	}

	const {endpoint} = command;
	const groups = configuration.getGroups()
		.filter(({cfg, deleted}) => !deleted && cfg.endpoints.some(other => other.name === endpoint))
		.map(({cfg}) => cfg.name);
	const [group, ...others] = groups;
	if (group === undefined) {
		return {refusal: `this host knows no endpoint ${endpoint}`};
	}

	return others.length > 0
		? {refusal: `the groups ${groups.join(' and ')} each have an endpoint ${endpoint}; add "of group GROUP"`}
		: {group};
}

function isAboutEndpoint(command: GroupCommand): command is OrderEndpointCommand | PromoteEndpointCommand {
	return command.kind === CommandKind.OrderEndpoint || command.kind === CommandKind.PromoteEndpoint;
}
