import type {GroupState} from '../audit/audited-kinds.js';
import {DecisionKind, type Change} from '../audit/change.js';
import type {Promotion} from './failover-parts.js';

/** Creates the change that records a promotion in the audit trail and leaves the group's state as it is. */
export function createPromotionChange({endpoint, term, cause}: Promotion): Change<GroupState> {
	return {
		what: `${endpoint} is primary of term ${term} (${cause})`,
		decide: current => current
			? {
				kind: DecisionKind.Change, fields: [], state: current, from: undefined, to: {primary: endpoint, term},
			}
			: {kind: DecisionKind.Refuse, fields: [], reason: 'the group is not there'},
	};
}
