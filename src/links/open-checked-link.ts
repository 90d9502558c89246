import {AnswerCode} from '../statements/statement-answer.js';
import {holdsLogPosition, LOG_START, type LogPosition} from '../terms/log-position.js';
import type {EndpointLink, LinkListener} from './endpoint-link.js';
import type {EndpointPoolOptions} from './endpoint-pool.js';
import {createLinkRefused} from './link-errors.js';

/** Returns whether the endpoint's log held `minPosition` when the connection was opened. */
export function heldPositionAtOpen({firstPosition}: EndpointLink, minPosition: LogPosition | undefined): boolean {
	return !minPosition || minPosition.position === 0 || holdsLogPosition(firstPosition ?? LOG_START, minPosition);
}

/**
 * Opens a connection for a workspace; rejects with LinkRefusedError where the endpoint has lost its log.
 *
 * Guards against a primary that restarted and lost its log while its entry still names the previous incarnation. It answers under the server's id,
 * so a read there would miss acknowledged commits, and a write would begin a divergent history. Its log is shorter than a position that was seen in it.
 */
export async function openCheckedLink(
	{target, opener, log, getMinPosition}: Pick<EndpointPoolOptions, 'target' | 'opener' | 'log' | 'getMinPosition'>,
	workspace: string | undefined,
	timeoutMs: number,
	listener: LinkListener,
): Promise<EndpointLink> {
	// Read before the connection is opened: a later write of another host may be known here before the endpoint's first position is.
	const minPosition = getMinPosition();
	const link = await opener.open({...target, workspace}, timeoutMs, listener);
	if (!heldPositionAtOpen(link, minPosition)) {
		log.warn('an endpoint has lost its log and is not used', {
			endpoint: target.endpointId, group: target.group, holds: link.firstPosition, held: minPosition,
		});
		link.cut();
		throw createLinkRefused(target.address, AnswerCode.WrongEndpoint);
	}

	return link;
}
