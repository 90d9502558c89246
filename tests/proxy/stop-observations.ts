import type {CallerChannel, CallerRequest} from '../../src/gateway/caller-channel.js';
import type {EndpointLink} from '../../src/links/endpoint-link.js';
import type {ScriptedAnswer, ScriptedCaller} from '../../src/stand-ins/proxies/scripted-caller.js';
import type {SimulatedProxy} from '../../src/stand-ins/proxies/simulated-proxies.js';
import {AnswerCode} from '../../src/statements/statement-answer.js';
import type {ProxyBench} from './proxy-bench.js';
import type {CallerPlan} from './stop-schedule.js';

/** A request that a host read from a caller. */
export type ReadRequest = {
	readonly what: string;
	readonly atMs: number;
	/** Whether it has an answer or a refusal. */
	resolved: boolean;
};

/** A statement that a caller sent. */
export type SentStatement = {
	readonly id: string;
	readonly text: string;
	answer?: ScriptedAnswer;
	/** Whether the wait for its answer is over. */
	ended: boolean;
};

/** A caller with everything exchanged between it and its host. */
export type CallerRecord = {
	readonly name: string;
	readonly plan: CallerPlan;
	readonly caller: ScriptedCaller;
	readonly readRequests: ReadRequest[];
	readonly sentStatements: SentStatement[];
	/** Ids of its statements that must not be committed, with the reason. */
	readonly promises: Map<string, string>;
	/** Ids of its writes and commits that were acknowledged. */
	readonly acknowledged: Set<string>;
	greeted: boolean;
};

/** Codes of answers that guarantee that nothing is committed. */
export const NOTHING_KEPT: ReadonlySet<AnswerCode> = new Set([
	AnswerCode.Overloaded, AnswerCode.Aborted, AnswerCode.Malformed, AnswerCode.ReadOnly, AnswerCode.Lagging, AnswerCode.UnknownStatement,
]);

/** Commands that start work at an endpoint. */
const BEGIN_COMMANDS: ReadonlySet<string> = new Set(['run', 'execute', 'begin', 'commit']);

/** Wraps a channel and records the requests that its host reads, and which of them are resolved. */
export function watchChannel(channel: CallerChannel, readRequests: ReadRequest[], since: () => number): CallerChannel {
	let notified = false;
	const resolveLast = () => {
		const last = readRequests.at(-1);
		if (last) {
			last.resolved = true;
		}
	};

	const describe = (req: CallerRequest) => req.kind === 'statement' ? req.id : req.kind;

	return {
		name: channel.name,
		get left() {
			return channel.left;
		},
		get waiting() {
			return channel.waiting;
		},
		async next() {
			const req = await channel.next();
			if (req) {
				// A caller that was notified before the request was read has its refusal; only a statement still lacks the state after it.
				readRequests.push({what: describe(req), atMs: since(), resolved: notified && req.kind === 'open'});
			}

			return req;
		},
		greet() {
			resolveLast();
			channel.greet();
		},
		async answer(result, state) {
			resolveLast();
			await channel.answer(result, state);
		},
		refuse(code, text) {
			notified = true;
			if (readRequests.length === 1) {
				resolveLast();
			}

			channel.refuse(code, text);
		},
		endRefusal(state) {
			resolveLast();
			channel.endRefusal(state);
		},
		close() {
			channel.close();
		},
	};
}

/** Records the ids under which work is started at endpoints. */
export function watchBegun({group}: ProxyBench, since: () => number) {
	const begun: Array<{readonly id: string; readonly at: number}> = [];
	const watch = (link: EndpointLink): EndpointLink => ({
		...link,
		get pending() {
			return link.pending;
		},
		get closed() {
			return link.closed;
		},
		async exchange(req) {
			if (req.id !== undefined && BEGIN_COMMANDS.has(req.command.kind)) {
				begun.push({id: req.id, at: since()});
			}

			return link.exchange(req);
		},
	});
	const {open} = group;
	(group as {open: typeof open}).open = async (...args) => watch(await open(...args));
	return begun;
}

/** Counts what a host is doing when it is ordered to stop. */
export function noteStates(bench: ProxyBench, {kernel}: SimulatedProxy, count: (what: string, times?: number) => void) {
	for (const [phase, sessions] of Object.entries(kernel.getOrThrow('gateway').countPhases())) {
		count(`stopped while ${phase}`, sessions);
	}

	const known = kernel.getOrThrow('endpointDirectory').list(bench.group.name);
	const poolHosts = kernel.getOrThrow('poolHosts');
	count('stopped while its connections are checked out', kernel.getOrThrow('checkoutServer').checkouts);
	count('stopped while it uses connections of pool hosts', known.filter(({entry, pool}) => !poolHosts.isPoolHost(entry) && pool.inUse > 0).length);
	count('stopped while requests wait for a connection', known.filter(({pool, ownPool}) => pool.waiting > 0 || ownPool.waiting > 0).length);
	count('stopped while it replaces a primary', kernel.getOrThrow('leadershipWatch').replacing ? 1 : 0);
}

/** Returns the violations of the rules at the moment when a host has left. */
export function findFaultsAtEnd({name, caller, readRequests, sentStatements, greeted}: CallerRecord, orderedAt: number): string[] {
	const faults: string[] = [];
	for (const {what, atMs} of readRequests.filter(({resolved}) => !resolved)) {
		faults.push(`${what} of ${name}, read at ${atMs}, has neither answer nor refusal when its host has left, ordered at ${orderedAt}`);
	}

	const isUnderWay = sentStatements.some(({id, ended}) => !ended && !readRequests.some(({what}) => what === id));
	const mayBeOpen = greeted ? caller.refusal !== undefined && isUnderWay : readRequests.length === 0;
	if (!caller.closed && !mayBeOpen) {
		faults.push(`the session of ${name} is open when its host has left, ordered at ${orderedAt}; refusal: ${caller.refusal ?? 'nothing'}`);
	}

	return faults;
}

/** Records what an answer guarantees about a statement; returns whether it guarantees that nothing is committed. */
export function getPromise({promises}: CallerRecord, {id, answer}: SentStatement): boolean {
	const isPromise = answer?.end.kind === 'error' && NOTHING_KEPT.has(answer.end.code);
	if (isPromise) {
		promises.set(id, `its answer was ${answer.end.kind === 'error' ? answer.end.code : ''}`);
	}

	return isPromise;
}

/** Records the reported outcome of a write or a transaction. */
export function noteOutcome(callerRecord: CallerRecord, statement: SentStatement, wrote: boolean, broken = false) {
	getPromise(callerRecord, statement);
	if (broken) {
		callerRecord.promises.set(statement.id, 'a statement of its transaction had such an answer');
	}

	if (wrote && statement.answer?.end.kind === 'complete') {
		callerRecord.acknowledged.add(statement.id);
	}
}

/** Compares what endpoints committed with what callers were answered; returns the differences. */
export function findCommitFaults({ran}: ProxyBench, callerRecords: readonly CallerRecord[]): string[] {
	const commits = new Map<string, number>();
	for (const [, what, id = ''] of ran.map(line => line.split(' '))) {
		if (what === 'commit') {
			commits.set(id, (commits.get(id) ?? 0) + 1);
		}
	}

	const faults: string[] = [];
	for (const {promises, acknowledged, sentStatements} of callerRecords) {
		for (const {id, text} of sentStatements) {
			const times = commits.get(id) ?? 0;
			const promise = promises.get(id);
			if (promise !== undefined && times > 0) {
				faults.push(`${id} (${text}) was committed though ${promise}`);
			}

			if (times > 1) {
				faults.push(`${id} (${text}) was committed ${times} times`);
			}

			if (acknowledged.has(id) && times === 0) {
				faults.push(`${id} (${text}) was acknowledged and never committed`);
			}
		}
	}

	return faults;
}
