import type {OperatorRecord} from '../audit/audited-kinds.js';
import {DecisionKind, type Change} from '../audit/change.js';
import {CommandKind, type OperatorCommand} from '../language/command.js';
import {BOOTSTRAP_OPERATOR} from './create-operator-access.js';

/** Creates the change that a command makes to the list of operators; the audit trail contains roles, but no hashes. */
export function createOperatorChange(command: OperatorCommand, what: string): Change<readonly OperatorRecord[]> {
	const {operator: name} = command;
	const fields = [`operator ${name}`];
	return {
		what,
		decide(current = []) {
			const before = current.find(operator => operator.name === name);
			const from = {[fields[0]!]: before?.role ?? null};
			const others = current.filter(operator => operator.name !== name);
			if (command.kind === CommandKind.DeleteOperator) {
				return before
					? {
						kind: DecisionKind.Change, fields, state: others, from, to: {[fields[0]!]: null},
					}
					: {kind: DecisionKind.Refuse, fields, reason: `there is no operator ${name}`};
			}

			const {role, tokenHash} = command;
			if (name === BOOTSTRAP_OPERATOR) {
				return {kind: DecisionKind.Refuse, fields, reason: `${BOOTSTRAP_OPERATOR} is the operator of the settings' own token`};
			}

			if (before) {
				return {kind: DecisionKind.Refuse, fields, reason: `the operator ${name} is there already; delete them first`};
			}

			if (others.some(operator => operator.tokenHash === tokenHash)) {
				return {kind: DecisionKind.Refuse, fields, reason: 'another operator has this token'};
			}

			return {
				kind: DecisionKind.Change, fields, state: [...others, {name, role, tokenHash}], from, to: {[fields[0]!]: role},
			};
		},
	};
}
