import type {NeededSession, SessionRequest} from '../links/link-session.js';
import type {SessionState} from '../statements/statement.js';
import {AnswerCode, type EndpointAnswer} from '../statements/statement-answer.js';
import {fitsInFrame} from './frame-room.js';
import {toRequestOnWire} from './prepared-on-wire.js';

/**
 * Returns the answer to a request that is too large for a message between hosts, together with what it needs, on a connection in the given state; undefined where it fits.
 *
 * Guards against pool hosts that are taken for unreachable since a request to them cannot be sent, and against requests that are tried again until their timeout.
 */
export function getTooLargeAnswer(request: SessionRequest, needed: NeededSession | undefined, state: SessionState): EndpointAnswer | undefined {
	if (fitsInFrame(getTexts(request, needed))) {
		return undefined;
	}

	return {
		rows: [],
		end: {
			kind: 'error', code: AnswerCode.TooLarge, text: 'the statement and its session are more than a message between hosts may have; nothing ran', isOwn: true,
		},
		state,
		unsent: true,
	};
}

function getTexts(request: SessionRequest, needed: NeededSession | undefined): readonly string[] {
	const {id = '', command} = toRequestOnWire(request, needed?.prepared);
	const texts = [id, needed?.prepared?.shape ?? '', ...[...needed?.values ?? []].flat()];
	if (command.kind === 'execute') {
		texts.push(command.name, command.args ?? '');
	} else if (command.kind === 'run') {
		texts.push(command.text);
	}

	return texts;
}
