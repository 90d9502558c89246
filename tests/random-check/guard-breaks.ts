import {createControlChannel} from '../../src/endpoints/control-channel.js';
import {KeyedWriteResult, type EndpointStatus, type Endpoints} from '../../src/endpoints/endpoint.js';
import type {GroupControl} from '../../src/failover/group-control.js';
import {createBarrier} from '../../src/owners/barrier.js';
import {Confirmation, createConfirmer, type Confirmer} from '../../src/owners/confirmer.js';
import type {GroupParts} from '../../src/owners/group-parts.js';
import type {RequestReceiver} from '../../src/routing/received-request.js';
import type {RequestTries} from '../../src/routing/request-tries.js';
import {holdsLogPosition, LOG_START, type LogPosition} from '../../src/terms/log-position.js';
import type {Clock} from '../../src/time/clock.js';
import {wrapConnections} from './broken-connections.js';
import {createReusedConnection} from './reused-connection.js';

/** What a broken part is made from. */
export type BreakTools = {
	readonly clock: Clock;
	/** The way to the servers, unbroken. */
	readonly endpoints: Endpoints;
};

/** Takes one guard out of a proxy by putting something else in the place of an injected part. */
export type GuardBreak = {
	readonly name: string;
	/** What is no longer done. */
	readonly without: string;
	breakEndpoints?(endpoints: Endpoints, clock: Clock): Endpoints;
	breakParts?(parts: GroupParts, tools: BreakTools): Partial<GroupParts>;
	breakAsker?(asker: RequestReceiver): RequestReceiver;
	breakTries?(tries: RequestTries): RequestTries;
	breakControl?(control: GroupControl): GroupControl;
};

/** What is counted in place of a status; `asked` is the entry that was waited for, where there was one. */
type Rewrite = (status: EndpointStatus, asked?: LogPosition) => EndpointStatus;

const getNames = (parts: GroupParts) => parts.getGroup().cfg.endpoints.map(({name}) => name);

/** Channels of a proxy's own, whose statuses are rewritten before anybody counts them. */
const createChannels = (parts: GroupParts, {clock, endpoints}: BreakTools, rewrite: Rewrite = status => status) => {
	const wrapped = wrapConnections(endpoints, connection => ({
		...connection,
		status: async timeoutMs => rewrite(await connection.status(timeoutMs)),
		waitFor: async (position, waitMs, timeoutMs) => rewrite(await connection.waitFor(position, waitMs, timeoutMs), position),
	}));
	const channels = new Map(parts.getGroup().cfg.endpoints.map(({name, address}) => [name, createControlChannel(wrapped.getEndpoint(address), clock)]));
	return (name: string) => channels.get(name)!;
};

const ignore = () => undefined;

/** A confirmer that counts statuses as rewritten, the primary's own as well. */
const createMisledConfirmer = (parts: GroupParts, tools: BreakTools, rewrite: Rewrite): Confirmer => {
	const confirmer = createConfirmer({
		clock: tools.clock, getEndpoints: () => getNames(parts), getChannel: createChannels(parts, tools, rewrite), onStatus: ignore, onFailure: ignore,
	});
	return {...confirmer, confirm: async req => confirmer.confirm({...req, status: rewrite(req.status)})};
};

/** Confirms at once what the write path asks about where `isBelieved`, by the result that came with the status. */
const createBelieving = (results: ReadonlySet<KeyedWriteResult>): Pick<GuardBreak, 'breakEndpoints' | 'breakParts'> => {
	const resultOf = new WeakMap<EndpointStatus, KeyedWriteResult>();
	return {
		breakEndpoints: endpoints => wrapConnections(endpoints, connection => ({
			...connection,
			async write(write, timeoutMs) {
				const answer = await connection.write(write, timeoutMs);
				resultOf.set(answer.status, answer.result);
				return answer;
			},
			async resolve(requestId, term, timeoutMs) {
				const answer = await connection.resolve(requestId, term, timeoutMs);
				resultOf.set(answer.status, answer.result);
				return answer;
			},
		})),
		breakParts: ({confirmer}) => ({
			confirmer: {
				...confirmer,
				confirm: async req => results.has(resultOf.get(req.status)!) ? Confirmation.Confirmed : confirmer.confirm(req),
			},
		}),
	};
};

/** The guards that can be taken out, one at a time. */
export const GUARD_BREAKS: readonly GuardBreak[] = [
	{
		name: 'confirm-one',
		without: 'a majority to confirm: the primary\'s own word suffices',
		breakParts: ({confirmer}) => ({confirmer: {...confirmer, confirm: async () => Confirmation.Confirmed}}),
	},
	{
		name: 'confirm-log-term',
		without: 'the term of the last entry in what confirms: the promise and the position suffice',
		breakParts: (parts, tools) => ({
			confirmer: createMisledConfirmer(parts, tools, status => ({...status, log: {...status.log, term: status.term}})),
		}),
	},
	{
		name: 'confirm-promise',
		without: 'the promised term in what confirms: the last entry\'s term and the position suffice',
		breakParts: (parts, tools) => ({
			confirmer: createMisledConfirmer(parts, tools, status => ({...status, term: status.log.term})),
		}),
	},
	{
		name: 'confirm-later-log',
		without: 'both terms in what confirms: any log that is as late as the entry suffices',
		breakParts: (parts, tools) => ({
			confirmer: createMisledConfirmer(parts, tools, (status, asked) =>
				asked && holdsLogPosition(status.log, asked) ? {...status, term: asked.term, log: asked} : status),
		}),
	},
	{
		name: 'found-unconfirmed',
		without: 'the confirmation of a key that was found',
		...createBelieving(new Set([KeyedWriteResult.Found])),
	},
	{
		name: 'tombstone-unconfirmed',
		without: 'the confirmation of a tombstone',
		...createBelieving(new Set([KeyedWriteResult.Tombstone])),
	},
	{
		name: 'no-tombstone',
		without: 'the tombstone: an unsure write is told as not run',
		breakTries: tries => ({
			...tries,
			resolveUnknown: async (asked, group, end) => ({
				answer: {...end.answer, outcome: 'not-run'}, tries: end.tries, outcomeUnknown: false, hasTombstone: true,
			}),
		}),
	},
	{
		name: 'repeat-as-first',
		without: 'the care for a repeat: its refusal is told as not run, whatever became of the first submission',
		breakAsker: asker => ({
			...asker,
			receive(group, header, parts) {
				const asking = asker.receive(group, header, parts);
				return {...asking, asked: {...asking.asked, mayBeRepeat: false}};
			},
		}),
	},
	{
		name: 'barrier-one',
		without: 'the majority of a barrier: one server that calls itself primary suffices',
		breakParts(parts, tools) {
			const getChannel = createChannels(parts, tools);
			const barriers = getNames(parts).map(name => createBarrier({
				clock: tools.clock, getEndpoints: () => [name], getChannel, onStatus: ignore, onFailure: ignore,
			}));
			return {
				barrier: {
					...parts.barrier,
					take: async deadlineAt => Promise.race(barriers.map(async barrier => {
						const taken = await barrier.take(deadlineAt);
						if (taken) {
							parts.knowledge.observeConfirmed(taken.floor.position, taken.floor.term, taken.takenAt);
						}

						return taken;
					})),
				},
			};
		},
	},
	{
		name: 'token-as-new',
		without: 'the barrier of a caller without a token',
		breakAsker: asker => ({...asker, receive: (group, header, parts) => asker.receive(group, header ?? 'new', parts)}),
	},
	{
		name: 'read-unchecked',
		without: 'the server\'s check of the floor: the owner\'s belief suffices',
		breakEndpoints: endpoints => wrapConnections(endpoints, connection => ({
			...connection, read: async (read, timeoutMs) => connection.read({...read, floor: LOG_START}, timeoutMs),
		})),
	},
	{
		name: 'read-position',
		without: 'the term in the server\'s check of the floor: the position suffices',
		breakEndpoints: endpoints => wrapConnections(endpoints, connection => ({
			...connection,
			async read(read, timeoutMs) {
				const {log} = await connection.status(timeoutMs);
				return connection.read({...read, floor: log.position >= read.floor.position ? LOG_START : read.floor}, timeoutMs);
			},
		})),
	},
	{
		name: 'connection-reuse',
		without: 'the end of a connection whose exchange brought no answer in time',
		breakEndpoints: (endpoints, clock) => wrapConnections(endpoints, (connection, address) => createReusedConnection(connection, address, clock)),
	},
	{
		name: 'candidate-position',
		without: 'the term in the choice of a candidate: the longest log is promoted',
		breakControl: control => ({
			...control,
			async fence(endpoint, term, ms) {
				const {granted, status} = await control.fence(endpoint, term, ms);
				return {granted, status: {...status, log: {...status.log, term: 0}}};
			},
		}),
	},
	{
		name: 'fence-one',
		without: 'the majority of grants: servers that gave no answer count as fenced',
		breakControl: control => ({
			...control,
			fence: async (endpoint, term, ms) => control.fence(endpoint, term, ms).catch(() => ({
				granted: true, status: {
					term, log: LOG_START, role: 'replica' as const, leaving: false,
				},
			})),
		}),
	},
];

/** Finds a guard break by its name. */
export function getGuardBreakOrThrow(name: string): GuardBreak {
	const found = GUARD_BREAKS.find(guardBreak => guardBreak.name === name);
	if (!found) {
		throw new Error(`there is no guard "${name}": ${GUARD_BREAKS.map(each => each.name).join(', ')}`);
	}

	return found;
}
