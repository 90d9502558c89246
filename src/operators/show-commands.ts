import type {AuditTrail, ChangeRow} from '../audit/audit-trail.js';
import type {Configuration, VersionedGroup} from '../configuration/configuration.js';
import {WorkClass, type GroupConfig} from '../groups/group-config.js';
import {
	CommandKind, type HelpCommand, type ShowChangesCommand, type ViewCommand, type WhyCommand,
} from '../language/command.js';
import {formatDuration, formatInstant} from '../time/format-time.js';
import {answerOk, answerRefused} from './answers.js';
import {findPrimary} from './endpoint-orders.js';
import type {FleetView, SessionRow} from './fleet-view.js';
import type {OperatorIdentity} from './operator-access.js';
import type {CommandAnswer} from './operator-commands.js';
import {describePart} from './describe-change.js';
import {formatEndpoints} from './show-endpoints.js';
import {formatCell, formatTable, NO_VALUE} from './text-table.js';

/** Dependencies of the `show` commands. */
export type ShowCommandsOptions = {
	readonly configuration: Configuration;
	readonly fleet: FleetView;
	readonly trail: AuditTrail;
	getOperators(): readonly OperatorIdentity[];
};

/** A `show` command. */
export type ShowCommand = Exclude<ViewCommand, HelpCommand | WhyCommand>;

/** Maximum length of a changed value or command in a table, in characters; the output of `--json` contains all of it. */
const MAX_PART_LENGTH = 48;

/** Runs a `show` command. */
export async function runShow(command: ShowCommand, options: ShowCommandsOptions): Promise<CommandAnswer> {
	const {configuration, fleet} = options;
	switch (command.kind) {
		case CommandKind.ShowSessions: {
			const rows = await fleet.getSessions();
			return answerOk(formatSessions(rows), rows);
		}

		case CommandKind.ShowSession: {
			const row = await fleet.getSession(command.sessionId);
			return row
				? answerOk(describeSession(row), row)
				: answerRefused(`No host has seen session ${command.sessionId} lately. A session lives in its token, so it may still be in use.`);
		}

		case CommandKind.ShowEndpoints: {
			return command.group === undefined || configuration.getGroup(command.group)
				? showEndpoints(command.group, fleet)
				: refuseUnknownGroup(command.group);
		}

		case CommandKind.ShowGroups: {
			return showGroups(options);
		}

		case CommandKind.ShowHosts: {
			const rows = await fleet.getHosts();
			return answerOk(formatTable(
				['HOST', 'ZONE', 'ADDRESS', 'LIST', 'STATE', 'CONFIGURATION'],
				rows.map(row => [
					row.name, row.availabilityZone, row.address, row.state, row.reachable ? 'ok' : 'no answer', formatCell(row.configRevision),
				]),
			), rows);
		}

		case CommandKind.ShowConfig: {
			return showConfig(command.group, configuration);
		}

		case CommandKind.ShowChanges: {
			return showChanges(command, options.trail);
		}

		case CommandKind.ShowOperators: {
			const rows = options.getOperators();
			return answerOk(formatTable(['OPERATOR', 'ROLE'], rows.map(({name, role}) => [name, role])), rows);
		}
	}
}

async function showEndpoints(group: string | undefined, fleet: FleetView): Promise<CommandAnswer> {
	const rows = await fleet.getEndpoints(group);
	return answerOk(formatEndpoints(rows), rows);
}

async function showGroups({configuration, fleet}: ShowCommandsOptions): Promise<CommandAnswer> {
	const endpoints = await fleet.getEndpoints();
	const rows = getLiveGroups(configuration).map(({cfg, version}) => ({
		group: cfg.name,
		version,
		primary: findPrimary(endpoints.filter(row => row.group === cfg.name))?.name,
		endpoints: cfg.endpoints.length,
		readAgeLimitMs: cfg.readAgeLimitMs,
		durability: cfg.durability,
		owners: cfg.owners,
		classShares: cfg.classShares,
	}));
	const table = formatTable(
		['GROUP', 'VERSION', 'PRIMARY', 'ENDPOINTS', 'READ-AGE', 'DURABILITY', 'OWNERS', 'SHARES'],
		rows.map(row => [
			row.group,
			String(row.version),
			formatCell(row.primary),
			String(row.endpoints),
			formatDuration(row.readAgeLimitMs),
			row.durability,
			String(row.owners),
			formatShares(row.classShares),
		]),
	);
	return answerOk(table, rows);
}

function getLiveGroups(configuration: Configuration): readonly VersionedGroup[] {
	return configuration.getGroups().filter(({deleted}) => !deleted);
}

function showConfig(group: string | undefined, configuration: Configuration): CommandAnswer {
	const known = getLiveGroups(configuration);
	const groups = group === undefined ? known : known.filter(({cfg}) => cfg.name === group);
	if (group !== undefined && groups.length === 0) {
		return refuseUnknownGroup(group);
	}

	const heading = `Revision ${configuration.revision}${configuration.loaded ? '' : ', not loaded yet'}.`;
	return answerOk([heading, ...groups.map(versioned => formatConfig(versioned))].join('\n'), {revision: configuration.revision, groups});
}

function formatConfig({cfg, version}: VersionedGroup): string {
	return [
		`${cfg.name}, version ${version}: read-age ${formatDuration(cfg.readAgeLimitMs)}, durability ${cfg.durability}, `
		+ `shares ${formatShares(cfg.classShares)}, owners ${cfg.owners}, key-retention ${formatDuration(cfg.keyRetentionMs)}`,
		...cfg.endpoints.map(endpoint => `    ${endpoint.name} at ${endpoint.address} in ${endpoint.availabilityZone}, `
			+ `connections ${endpoint.connections}, slots ${endpoint.slots}, order ${endpoint.order}`),
	].join('\n');
}

async function showChanges({subject, last}: ShowChangesCommand, trail: AuditTrail): Promise<CommandAnswer> {
	const rows = await trail.getChanges(subject, last);
	const table = formatTable(
		['WHEN', 'WHO', 'SUBJECT', 'WHAT', 'FROM', 'TO', 'CHANGE'],
		rows.map(row => [formatInstant(row.at), row.who, row.subject, shorten(row.what), formatPart(row.from), formatPart(row.to), row.changeId]),
	);
	return answerOk(table, rows satisfies readonly ChangeRow[]);
}

function formatSessions(rows: readonly SessionRow[]): string {
	return formatTable(
		['SESSION', 'SEEN', 'HOST', 'GROUP', 'REQUEST', 'FLOORS'],
		rows.map(row => [row.id, formatInstant(row.seenAt), row.host, row.group, row.requestId, formatFloors(row)]),
	);
}

function describeSession(row: SessionRow): string {
	return [
		`Session ${row.id} was last seen at ${formatInstant(row.seenAt)} by host ${row.host}.`,
		`Its last request was ${row.requestId} on group ${row.group}.`,
		`Its floors, which every read of it has to hold: ${formatFloors(row)}.`,
	].join('\n');
}

function formatFloors({floors}: SessionRow): string {
	const entries = Object.entries(floors).map(([group, {term, position}]) => `${group} (term ${term}, position ${position})`);
	return entries.length > 0 ? entries.join(', ') : NO_VALUE;
}

function formatShares(shares: GroupConfig['classShares']): string {
	return Object.values(WorkClass).map(name => `${name} ${Math.round(shares[name] * 100)}%`).join(' ');
}

/** Formats a changed part as `name value` pairs. */
function formatPart(part: unknown): string {
	if (typeof part !== 'object' || part === null) {
		return NO_VALUE;
	}

	return shorten(describePart(part));
}

function shorten(text: string): string {
	return text.length <= MAX_PART_LENGTH ? text : `${text.slice(0, MAX_PART_LENGTH - 1)}…`;
}

function refuseUnknownGroup(group: string): CommandAnswer {
	return answerRefused(`Refused: this host knows no group ${group}.`);
}

