import {SessionState} from '../statements/statement.js';
import {AnswerCode, type EndpointAnswer} from '../statements/statement-answer.js';
import {fitsInFrame} from './frame-room.js';

const TOO_LARGE = 'the rows are more than a message between hosts may have';

/**
 * Returns an endpoint's answer as a pool host can send it: in place of one whose rows are too large for a message, an error.
 *
 * Guards against a remote host that takes a pool host without a response for failed. A write outside a transaction, and a commit, may have taken effect, so their outcome is unknown.
 */
export function boundAnswer(answer: EndpointAnswer, isRead: boolean): EndpointAnswer {
	const {rows, end, state, position} = answer;
	if (fitsInFrame([...rows, (end.kind === 'error' ? end.text : end.signature) ?? ''])) {
		return answer;
	}

	const isKept = !isRead && state === SessionState.Idle;
	return {
		rows: [],
		end: {
			kind: 'error',
			code: isKept ? AnswerCode.OutcomeUnknown : AnswerCode.TooLarge,
			isOwn: true,
			text: isKept ? `${TOO_LARGE}; the outcome is unknown` : `${TOO_LARGE}; nothing is kept`,
		},
		state,
		position,
	};
}
