import {EndpointRole} from '../endpoints/endpoint.js';
import {EndpointOrder} from '../groups/group-config.js';
import {formatDuration, formatInstant} from '../time/format-time.js';
import {describeOrder} from './endpoint-orders.js';
import type {EndpointRow, RunningWork} from './fleet-view.js';
import {formatCell, formatTable} from './text-table.js';

const HEADING = ['GROUP', 'ENDPOINT', 'ZONE', 'ORDER', 'STATE', 'ROLE', 'TERM', 'POSITION', 'AGE', 'RUNNING', 'QUEUED'] as const;

/** Formats endpoints as a table with the progress of each order below it. */
export function formatEndpoints(rows: readonly EndpointRow[]): string {
	const table = formatTable(HEADING, rows.map(row => [
		row.group,
		row.name,
		row.availabilityZone,
		row.order,
		getState(row),
		formatCell(row.role),
		formatCell(row.term),
		formatCell(row.log?.position),
		row.ageMs === undefined ? '-' : formatDuration(row.ageMs),
		String(row.running),
		String(row.queued),
	]));
	const progress = rows.filter(row => row.order !== EndpointOrder.Serve).map(row => describeProgress(row));
	return [table, ...progress].join('\n');
}

function getState(row: EndpointRow): string {
	if (!row.seen) {
		return 'not seen';
	}

	if (!row.reachable) {
		return row.answeredAt === undefined ? 'no answer' : `no answer since ${formatInstant(row.answeredAt)}`;
	}

	return row.leaving ? 'leaving' : 'ok';
}

/** Describes the progress of a drain or a stop. */
function describeProgress(row: EndpointRow): string {
	const since = row.orderedAt === undefined ? '' : ` since ${formatInstant(row.orderedAt)}`;
	const sentences = [`${row.name} ${describeOrder(row.order)}${since}.`];
	if (row.role === EndpointRole.Primary) {
		sentences.push('It is still the primary and hands its role on.');
	}

	const [oldest] = row.work;
	if (row.running === 0) {
		sentences.push('Nothing runs there any more.');
	} else {
		sentences.push(`${row.running} still ${row.running === 1 ? 'runs' : 'run'}${oldest ? `, the oldest is ${describeWork(oldest)}` : ''}.`);
	}

	return sentences.join(' ');
}

function describeWork({what, requestId, host, since}: RunningWork): string {
	return `a ${what} (${requestId}) at ${host} since ${formatInstant(since)}`;
}
