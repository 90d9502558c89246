import type {Counts, FleetReport} from './fleet-report.js';
import type {EndpointCause, WaitSummary} from './wait-report.js';

/** Maximum number of lines in each list of the text. The JSON output has all of them. */
const MAX_SHOWN = 12;

/** Formats a report as text. */
export function formatReport(report: FleetReport): string {
	return [
		`${report.lines} lines of ${report.hosts} hosts${formatSpan(report)}; ${report.unreadLines} lines were not read, ${report.droppedLines} were dropped by hosts`,
		...formatCounts('refusals by code', report.refusalsByCode),
		...formatCounts('refusals by what was told', report.refusalsByText),
		...formatCounts('refusals by database', report.refusalsByDatabase),
		...formatCounts('refusals by workspace', report.refusalsByWorkspace),
		...formatCounts('tried again', report.retries),
		...formatCounts('outcome unknown', report.unknownOutcomes),
		`answered late: ${report.lateAnswers}`,
		...formatWaits('waited for connections, by database', report.waits.databases),
		...formatWaits('waited for connections, by workspace', report.waits.workspaces),
		...formatWaits('waited for connections, by endpoint', report.waits.endpoints),
		...formatList('refused or late because of an endpoint', report.waits.causes.map(cause => formatCause(cause))),
		...(report.waits.leftOut > 0 ? [`left out of the waits and causes: ${report.waits.leftOut}`] : []),
		`stops begun: ${report.stopsBegun}, ended: ${report.stopsEnded}`,
		...formatList('changes of primary', report.primaryChanges.map(change => formatChange(change))),
		...formatList('configurations', report.configurations.map(({version, hosts, firstAt, lastAt}) => `version ${version}: ${hosts} hosts within ${Math.round(lastAt - firstAt)} ms`)),
		...formatList('returns of the store from a copy', report.storeReturns.map(storeRestore => formatStoreRestore(storeRestore))),
		...formatCounts('left out, as there was too much of it', report.leftOut),
	].join('\n');
}

function formatWaits(title: string, waits: readonly WaitSummary[]): readonly string[] {
	return formatList(title, waits.map(({name, count, p50Ms, p99Ms}) => `${String(count).padStart(7)}  ${name}: p50 ${p50Ms} ms, p99 ${p99Ms} ms`));
}

function formatCause({endpoint, refused, late, waitedMs, reasons, workspaces, databases, predictedWaitMs, queued, limit}: EndpointCause): string {
	const queue = predictedWaitMs === undefined ? '' : `; queue at most ${queued ?? '?'} at limit ${limit ?? '?'}, predicted wait at most ${predictedWaitMs} ms`;
	return [
		`${endpoint}: ${refused} refused, ${late} late, ${waitedMs} ms waited${queue}`,
		...formatParts('reasons', reasons),
		...formatParts('workspaces', workspaces),
		...formatParts('databases', databases),
	].join('; ');
}

/** Maximum number of names that are listed for one endpoint in the text. */
const MAX_PARTS = 4;

function formatParts(title: string, counts: Counts): readonly string[] {
	const parts = toDescending(counts);
	const more = parts.length - MAX_PARTS;
	return parts.length === 0 ? [] : [`${title}: ${parts.slice(0, MAX_PARTS).map(([name, count]) => `${name} ${count}`).join(', ')}${more > 0 ? ` and ${more} more` : ''}`];
}

function formatSpan({from, to}: FleetReport): string {
	return from === undefined || to === undefined ? '' : `, ${formatTime(from)} to ${formatTime(to)}`;
}

function formatTime(at: number): string {
	return new Date(at).toISOString();
}

function formatChange({at, host, group, primary, reason = 'its beginning is not in these logs', partsMs}: FleetReport['primaryChanges'][number]): string {
	const parts = Object.entries(partsMs).map(([name, ms]) => `${name.replace(/Ms$/v, '')} ${ms}`).join(', ');
	return `${formatTime(at)} ${group}: ${primary}, by ${host}, since ${reason}${parts === '' ? '' : ` (ms: ${parts})`}`;
}

function formatStoreRestore({generation, hosts, firstAt, lastAt, recordsWritten}: FleetReport['storeReturns'][number]): string {
	return `${formatTime(firstAt)} generation ${generation}: seen by ${hosts} hosts within ${Math.round(lastAt - firstAt)} ms, ${recordsWritten} records of leadership written again`;
}

/** Returns the counts in descending order. An object lists names that are numbers first, whatever their counts. */
function toDescending(counts: Counts): ReadonlyArray<readonly [string, number]> {
	return Object.entries(counts).toSorted((left, right) => right[1] - left[1]);
}

function formatCounts(title: string, counts: Counts): readonly string[] {
	return formatList(title, toDescending(counts).map(([cause, count]) => `${String(count).padStart(7)}  ${cause}`));
}

function formatList(title: string, lines: readonly string[]): readonly string[] {
	if (lines.length === 0) {
		return [];
	}

	const more = lines.length - MAX_SHOWN;
	return [`${title}:`, ...lines.slice(0, MAX_SHOWN).map(line => `  ${line}`), ...(more > 0 ? [`  … ${more} more, shown with --json`] : [])];
}
