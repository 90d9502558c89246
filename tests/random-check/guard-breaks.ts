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
import {wrapConnections} from './wrap-connections.js';
import {createReusedConnection} from './reused-connection.js';

/** The parts that a replacement without a guard is created from. */
export type BreakOptions = {
	readonly clock: Clock;
	/** The original endpoints. */
	readonly endpoints: Endpoints;
};

/** Removes one guard from a proxy by replacing an injected part. */
export type GuardBreak = {
	readonly name: string;
	/** Description of the removed guard. */
	readonly without: string;
	breakEndpoints?(endpoints: Endpoints, clock: Clock): Endpoints;
	breakParts?(parts: GroupParts, tools: BreakOptions): Partial<GroupParts>;
	breakReceiver?(receiver: RequestReceiver): RequestReceiver;
	breakTries?(tries: RequestTries): RequestTries;
	breakControl?(control: GroupControl): GroupControl;
};

/** Returns the status that is counted instead of the given one. `asked` is the awaited log entry, if any. */
type StatusRewrite = (status: EndpointStatus, asked?: LogPosition) => EndpointStatus;

const getNames = (parts: GroupParts) => parts.getGroup().cfg.endpoints.map(({name}) => name);

/** Creates separate control channels, whose statuses are rewritten before they are counted. */
const createChannels = (parts: GroupParts, {clock, endpoints}: BreakOptions, rewrite: StatusRewrite = status => status) => {
	const wrapped = wrapConnections(endpoints, connection => ({
		...connection,
		status: async timeoutMs => rewrite(await connection.status(timeoutMs)),
		waitFor: async (position, waitMs, timeoutMs) => rewrite(await connection.waitFor(position, waitMs, timeoutMs), position),
	}));
	const channels = new Map(parts.getGroup().cfg.endpoints.map(({name, address}) => [name, createControlChannel(wrapped.getEndpoint(address), clock)]));
	return (name: string) => channels.get(name)!;
};

const ignore = () => undefined;

/** Creates a confirmer that counts rewritten statuses, including that of the primary. */
const createRewritingConfirmer = (parts: GroupParts, tools: BreakOptions, rewrite: StatusRewrite): Confirmer => {
	const confirmer = createConfirmer({
		clock: tools.clock, getEndpoints: () => getNames(parts), getChannel: createChannels(parts, tools, rewrite), onStatus: ignore, onFailure: ignore,
	});
	return {...confirmer, confirm: async req => confirmer.confirm({...req, status: rewrite(req.status)})};
};

/** Confirms a write at once, without a majority, if the result that came with its status is one of `results`. */
const createSkippedConfirmation = (results: ReadonlySet<KeyedWriteResult>): Pick<GuardBreak, 'breakEndpoints' | 'breakParts'> => {
	const resultsByStatus = new WeakMap<EndpointStatus, KeyedWriteResult>();
	return {
		breakEndpoints: endpoints => wrapConnections(endpoints, connection => ({
			...connection,
			async write(write, timeoutMs) {
				const answer = await connection.write(write, timeoutMs);
				resultsByStatus.set(answer.status, answer.result);
				return answer;
			},
			async resolve(requestId, term, timeoutMs) {
				const answer = await connection.resolve(requestId, term, timeoutMs);
				resultsByStatus.set(answer.status, answer.result);
				return answer;
			},
		})),
		breakParts: ({confirmer}) => ({
			confirmer: {
				...confirmer,
				confirm: async req => results.has(resultsByStatus.get(req.status)!) ? Confirmation.Confirmed : confirmer.confirm(req),
			},
		}),
	};
};

/** The guards that can be removed, each on its own. */
export const GUARD_BREAKS: readonly GuardBreak[] = [
	{
		name: 'confirm-one',
		without: 'a majority to confirm: the primary alone suffices',
		breakParts: ({confirmer}) => ({confirmer: {...confirmer, confirm: async () => Confirmation.Confirmed}}),
	},
	{
		name: 'confirm-log-term',
		without: 'the term of the last entry in what confirms: the promise and the position suffice',
		breakParts: (parts, tools) => ({
			confirmer: createRewritingConfirmer(parts, tools, status => ({...status, log: {...status.log, term: status.term}})),
		}),
	},
	{
		name: 'confirm-promise',
		without: 'the promised term in what confirms: the last entry\'s term and the position suffice',
		breakParts: (parts, tools) => ({
			confirmer: createRewritingConfirmer(parts, tools, status => ({...status, term: status.log.term})),
		}),
	},
	{
		name: 'confirm-later-log',
		without: 'both terms in what confirms: any log that is as late as the entry suffices',
		breakParts: (parts, tools) => ({
			confirmer: createRewritingConfirmer(parts, tools, (status, asked) =>
				asked && holdsLogPosition(status.log, asked) ? {...status, term: asked.term, log: asked} : status),
		}),
	},
	{
		name: 'found-unconfirmed',
		without: 'the confirmation of a key that was found',
		...createSkippedConfirmation(new Set([KeyedWriteResult.Found])),
	},
	{
		name: 'tombstone-unconfirmed',
		without: 'the confirmation of a tombstone',
		...createSkippedConfirmation(new Set([KeyedWriteResult.Tombstone])),
	},
	{
		name: 'no-tombstone',
		without: 'the tombstone: a write with an unknown outcome is reported as not run',
		breakTries: tries => ({
			...tries,
			resolveUnknown: async (asked, group, end) => ({
				answer: {...end.answer, outcome: 'not-run'}, tries: end.tries, outcomeUnknown: false, hasTombstone: true,
			}),
		}),
	},
	{
		name: 'repeat-as-first',
		without: 'the handling of a repeat: its refusal is reported as not run, whatever the outcome of the first submission',
		breakReceiver: receiver => ({
			...receiver,
			receive(group, header, parts) {
				const asking = receiver.receive(group, header, parts);
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
		breakReceiver: receiver => ({...receiver, receive: (group, header, parts) => receiver.receive(group, header ?? 'new', parts)}),
	},
	{
		name: 'read-unchecked',
		without: 'the server\'s check of the floor: the owner\'s knowledge suffices',
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
		without: 'the closing of a connection whose exchange timed out',
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
