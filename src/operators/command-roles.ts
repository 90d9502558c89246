import {
	CommandKind, type Command, type GroupCommand, type OperatorCommand,
} from '../language/command.js';
import {OperatorRole} from './operator-access.js';

/**
 * The role that each command needs.
 *
 * Guards against a command that changes something without requiring a role: the type requires a line for every kind.
 */
export const commandRoles: Readonly<Record<CommandKind, OperatorRole>> = {
	[CommandKind.Help]: OperatorRole.View,
	[CommandKind.Why]: OperatorRole.View,
	[CommandKind.ShowSessions]: OperatorRole.View,
	[CommandKind.ShowSession]: OperatorRole.View,
	[CommandKind.ShowEndpoints]: OperatorRole.View,
	[CommandKind.ShowGroups]: OperatorRole.View,
	[CommandKind.ShowHosts]: OperatorRole.View,
	[CommandKind.ShowConfig]: OperatorRole.View,
	[CommandKind.ShowChanges]: OperatorRole.View,
	[CommandKind.ShowOperators]: OperatorRole.View,
	[CommandKind.CreateGroup]: OperatorRole.Operate,
	[CommandKind.DeleteGroup]: OperatorRole.Operate,
	[CommandKind.SetReadAge]: OperatorRole.Operate,
	[CommandKind.SetDurability]: OperatorRole.Operate,
	[CommandKind.SetShares]: OperatorRole.Operate,
	[CommandKind.SetOwners]: OperatorRole.Operate,
	[CommandKind.SetKeyRetention]: OperatorRole.Operate,
	[CommandKind.OrderEndpoint]: OperatorRole.Operate,
	[CommandKind.PromoteEndpoint]: OperatorRole.Operate,
	[CommandKind.CreateOperator]: OperatorRole.Operate,
	[CommandKind.DeleteOperator]: OperatorRole.Operate,
};

/** Returns whether a command changes something. */
export function isChange(command: Command): command is GroupCommand | OperatorCommand {
	return commandRoles[command.kind] === OperatorRole.Operate;
}

/** Returns whether a command changes the list of operators. */
export function isOperatorCommand(command: Command): command is OperatorCommand {
	return command.kind === CommandKind.CreateOperator || command.kind === CommandKind.DeleteOperator;
}
