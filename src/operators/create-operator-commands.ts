import {AuditError} from '../audit/audit-errors.js';
import type {AuditTrail} from '../audit/audit-trail.js';
import type {Explanations} from '../explanations/explanations.js';
import type {ExplanationSearch} from '../explanations/explanation-search.js';
import {
	CommandKind, type Command, type GroupCommand, type HelpCommand, type OperatorCommand,
} from '../language/command.js';
import {formatHelp, getHelp} from '../language/help.js';
import {formatSyntaxError, parseCommand} from '../language/parse-command.js';
import {PlatformError} from '../object-store/platform-errors.js';
import {createRequestId, getRequestIdTime} from '../random/request-id.js';
import {answerMalformed, answerOk, answerRefused} from './answers.js';
import {runGroupCommand, runOperatorCommand, type ChangeCommandsOptions} from './change-commands.js';
import {isChange, isOperatorCommand} from './command-roles.js';
import type {OperatorAccessService} from './create-operator-access.js';
import {OperatorRole, type OperatorIdentity} from './operator-access.js';
import type {CommandAnswer, OperatorCommands} from './operator-commands.js';
import {runShow} from './show-commands.js';
import {runWhy} from './why-command.js';

/** Options of {@link createOperatorCommands}. */
export type OperatorCommandsOptions = ChangeCommandsOptions & {
	readonly trail: AuditTrail;
	readonly explanations: Explanations & ExplanationSearch;
	readonly access: Pick<OperatorAccessService, 'refresh' | 'isCurrent' | 'getOperators'>;
};

/** Creates the service that runs the operators' commands. */
export function createOperatorCommands(options: OperatorCommandsOptions): OperatorCommands {
	const {
		configuration, fleet, trail, explanations, access, clock, random,
	} = options;

	// Guards against an operator whose role was revoked, but who is still accepted by a host that has not received that
	// change: before each change the operators are read from the platform, which the change needs anyway.
	const getRefusalReason = async (who: OperatorIdentity) => {
		if (who.role !== OperatorRole.Operate) {
			return `${who.name} may view, and not change anything`;
		}

		if (!await access.refresh()) {
			return 'the platform gives no answer, and without it nothing can be changed';
		}

		return access.isCurrent(who) ? undefined : `${who.name} may not change anything any more`;
	};

	const runChange = async (command: GroupCommand | OperatorCommand, text: string, who: OperatorIdentity, givenId: string | undefined) => {
		if (givenId !== undefined && getRequestIdTime(givenId) === undefined) {
			return answerMalformed('the change id must be a UUIDv7', null);
		}

		const refusalReason = await getRefusalReason(who);
		if (refusalReason !== undefined) {
			return answerRefused(`Refused, nothing was changed: ${refusalReason}.`);
		}

		const author = {who: who.name, changeId: givenId ?? createRequestId(clock.wall(), random)};
		return isOperatorCommand(command)
			? runOperatorCommand(command, hideHash(text), author, options)
			: runGroupCommand(command, text, author, options);
	};

	const runCommand = async (command: Command, text: string, who: OperatorIdentity, changeId: string | undefined) => {
		if (isChange(command)) {
			return runChange(command, text, who, changeId);
		}

		if (command.kind === CommandKind.Help) {
			return runHelp(command);
		}

		return command.kind === CommandKind.Why
			? runWhy(command, explanations)
			: runShow(command, {
				configuration, fleet, trail, getOperators: access.getOperators,
			});
	};

	return {
		async run(command, who, changeId): Promise<CommandAnswer> {
			const parsed = parseCommand(command);
			if (!parsed.ok) {
				return answerMalformed(formatSyntaxError(command, parsed.syntaxError), parsed.syntaxError);
			}

			try {
				return await runCommand(parsed.command, toOneLine(command), who, changeId);
			} catch (err) {
				if (err instanceof PlatformError || err instanceof AuditError) {
					return answerRefused(`Refused: ${err.message}.`);
				}

				throw err;
			}
		},
	};
}

function runHelp({topic}: HelpCommand): CommandAnswer {
	const entries = getHelp(topic);
	return entries.length > 0
		? answerOk(formatHelp(entries), entries)
		: answerRefused(`No command begins with "${topic}"; help lists them all.`);
}

function toOneLine(text: string): string {
	return text.trim().replaceAll(/\s+/gv, ' ');
}

/** Returns the command for the audit trail, without the hash of a token. */
function hideHash(text: string): string {
	return text.replace(/[\da-f]{64}/iv, '…');
}
