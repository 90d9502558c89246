import type {CallerResponse} from '../../src/callers/caller-response.js';
import {callerRequestSchema} from '../../src/callers/caller-request.js';
import type {Session} from '../../src/sessions/session.js';
import {createSimulatedSystem, type SimulatedSystem, type SimulatedSystemOptions} from '../../src/stand-ins/system/simulated-system.js';

/** A caller of a scripted session, which keeps its token as a client would. */
export type ScriptedCaller = {
	/** Sends a request to a proxy and adds the request and its answer to the transcript. */
	ask(proxy: string, group: string, body: Record<string, unknown>): Promise<CallerResponse>;
	/** Requests the outcome of a request, and adds it to the transcript. */
	queryOutcome(proxy: string, group: string, requestId: string): Promise<CallerResponse>;
	/** The session header of the next request. Assign it to simulate a lost or forged token. */
	token: string | undefined;
};

/** A session on a simulated system, with its transcript. */
export type SessionScript = {
	readonly system: SimulatedSystem;
	createCaller(name: string, token?: string): ScriptedCaller;
	/** Adds an event to the transcript. */
	note(event: string): void;
	/** Advances the clock and adds the wait to the transcript. */
	wait(ms: number): Promise<void>;
	getTranscript(): string;
	end(): Promise<void>;
};

/** Three proxies and one group with three servers, with 20 connections and 3 slots each. */
export const SLEEP_LOGS: SimulatedSystemOptions = {
	proxies: 3,
	availabilityZones: ['hall-a', 'hall-b', 'hall-c', 'hall-d'],
	groups: [{name: 'sleep-logs', availabilityZones: ['hall-a', 'hall-b', 'hall-c']}],
};

/** Options of a transcript. */
export type TranscriptOptions = {
	/** Omits times, for sessions in which they would depend on settings that are not under test. */
	readonly hidesTimes?: boolean;
};

/** Starts a simulated system with an empty transcript. */
export async function startSessionScript(options: SimulatedSystemOptions = SLEEP_LOGS, {hidesTimes = false}: TranscriptOptions = {}): Promise<SessionScript> {
	const system = createSimulatedSystem(options);
	await system.start();
	const {clock} = system;
	const startedAt = clock.now();
	const lines: string[] = [];

	const note = (event: string) => {
		lines.push(hidesTimes ? event : `${formatTime(clock.now() - startedAt)} ${event}`);
	};

	const describeToken = (token: string | undefined) => {
		if (token === undefined) {
			return 'no token';
		}

		const session = system.proxies[0]!.kernel.getOrThrow('sessions').verify(token);
		return session ? describeSession(session) : `"${token}"`;
	};

	const addAnswer = (answer: CallerResponse, sentAt: number) => {
		const duration = hidesTimes ? '' : ` after ${Math.round(clock.now() - sentAt)} ms`;
		lines.push(`    ${describeOutcome(answer)}${duration}`);
		if (answer.rows && answer.rows.length > 0) {
			lines.push(...answer.rows.map(row => `    row ${JSON.stringify(row)}`));
		}

		lines.push(`    token: ${describeToken(answer.session)}`);
	};

	const createCaller = (name: string, token?: string): ScriptedCaller => {
		const exchange = async (proxy: string, description: string, send: () => Promise<CallerResponse>) => {
			note(`${name} at ${proxy}: ${description}, ${describeToken(caller.token)}`);
			const sentAt = clock.now();
			const answer = await clock.runUntil(send());
			addAnswer(answer, sentAt);
			caller.token = answer.session ?? caller.token;
			return answer;
		};

		const getEntry = (proxy: string) => system.getProxyOrThrow(proxy).kernel.getOrThrow('entry');
		const caller: ScriptedCaller = {
			token,
			async ask(proxy, group, body) {
				const req = callerRequestSchema.parse(body);
				const description = `${req.kind} ${group} ${req.statement} ${JSON.stringify(req.values)}`;
				return exchange(proxy, description, async () => getEntry(proxy).execute(group, req, caller.token));
			},
			async queryOutcome(proxy, group, requestId) {
				return exchange(proxy, `what became of the request in ${group}?`, async () => getEntry(proxy).resolveOutcome(group, requestId, caller.token));
			},
		};
		return caller;
	};

	return {
		system,
		createCaller,
		note,
		async wait(ms) {
			await clock.advance(ms);
			note(`${ms} ms later`);
		},
		getTranscript: () => `${lines.join('\n')}\n`,
		end: async () => system.stop(),
	};
}

function describeOutcome(answer: CallerResponse): string {
	const {outcome, refusal} = answer;
	if (refusal) {
		const retryAfter = refusal.retryAfterMs === undefined ? '' : `, come back in ${Math.round(refusal.retryAfterMs)} ms`;
		return `${outcome}: ${refusal.code}, ${refusal.reason}${retryAfter}`;
	}

	const where = answer.servedBy ? ` by ${answer.servedBy} at (${answer.term}, ${answer.position})` : '';
	return `${outcome}${where}`;
}

function describeSession(session: Session): string {
	const floors = Object.entries(session.floors).map(([group, {term, position}]) => `${group} from (${term}, ${position})`);
	const known = floors.length > 0 ? floors.join(', ') : 'nothing written';
	return session.trimmed ? `${known}; other groups unknown` : known;
}

function formatTime(ms: number): string {
	return `${(ms / 1000).toFixed(3).padStart(8, '0')}s`;
}
