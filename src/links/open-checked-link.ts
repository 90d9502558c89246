import {AnswerCode} from '../statements/statement-answer.js';
import {holdsLogPosition, LOG_START, type LogPosition} from '../terms/log-position.js';
import type {EndpointLink, LinkListener} from './endpoint-link.js';
import type {EndpointPoolOptions} from './endpoint-pool.js';
import {createLinkRefused} from './link-errors.js';

/** Whether a connection was opened to a log that held `least`. */
export function isOfLife({firstPosition}: EndpointLink, least: LogPosition | undefined): boolean {
	return !least || least.position === 0 || holdsLogPosition(firstPosition ?? LOG_START, least);
}

/**
 * Opens a connection for a workspace.
 *
 * Guards against a primary that started again and lost its log while its entry still names the life before: it answers under the server's id,
 * a read there would miss acknowledged commits, and a write would begin a second history. Its log is shorter than what was seen in it.
 */
export async function openCheckedLink(
	{target, opener, log, getLeastPosition}: Pick<EndpointPoolOptions, 'target' | 'opener' | 'log' | 'getLeastPosition'>,
	workspace: string | undefined,
	timeoutMs: number,
	listener: LinkListener,
): Promise<EndpointLink> {
	// Taken before the opening: what others write meanwhile may be known here before the endpoint's greeting is.
	const least = getLeastPosition();
	const link = await opener.open({...target, workspace}, timeoutMs, listener);
	if (!isOfLife(link, least)) {
		log.warn('an endpoint has lost its log and is not used', {
			endpoint: target.endpointId, group: target.group, holds: link.firstPosition, held: least,
		});
		link.cut();
		throw createLinkRefused(target.address, AnswerCode.WrongEndpoint);
	}

	return link;
}
