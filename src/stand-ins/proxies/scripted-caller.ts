import type {CallerChannel, CallerRequest} from '../../gateway/caller-channel.js';
import type {StatementResult} from '../../gateway/statement-result.js';
import type {SessionState, Statement} from '../../statements/statement.js';
import type {Clock} from '../../time/clock.js';
import type {AnswerCode} from '../../statements/statement-answer.js';

/** An answer with the session's state after it. */
export type ScriptedAnswer = StatementResult & {readonly state: SessionState};

/** A simulated caller whose requests a test or a schedule makes. */
export type ScriptedCaller = {
	readonly channel: CallerChannel;
	/** Opens the session with a key, the caller's name by default. Resolves with false where the session was refused. */
	open(database: string, key?: string): Promise<boolean>;
	/** Sends a statement and resolves with its answer; undefined where the session ended first. */
	ask(id: string, statement: Statement): Promise<ScriptedAnswer | undefined>;
	/** Ends the connection immediately. */
	leave(): void;
	/** The code with which the host refused or ended the session. */
	readonly refusal: AnswerCode | undefined;
	readonly closed: boolean;
};

/** The delay of a caller's requests on their way to its host. */
export type CallerLatency = {
	readonly clock: Clock;
	/** Time before the host reads a request, in milliseconds: network latency, or the delay of a host that reads late. */
	readonly requestMs: number;
};

/**
 * Creates a caller.
 * @param latency Without it, the host can read a request immediately.
 */
export function createScriptedCaller(name = 'caller', latency?: CallerLatency): ScriptedCaller {
	const requests: CallerRequest[] = [];
	let left = false;
	let closed = false;
	let refusal: AnswerCode | undefined;
	let wake: (() => void) | undefined;
	let resolveGreeting: ((greeted: boolean) => void) | undefined;
	let resolveAnswer: ((answer: ScriptedAnswer | undefined) => void) | undefined;
	/** A refusal whose session state has not arrived yet. */
	let pendingRefusal: StatementResult | undefined;

	const receive = (req: CallerRequest) => {
		// Requests that arrive after the session has ended are dropped.
		if (!closed) {
			requests.push(req);
			wake?.();
		}
	};

	const send = (req: CallerRequest) => {
		if (!latency) {
			receive(req);
			return;
		}

		void latency.clock.sleep(latency.requestMs).then(() => {
			receive(req);
		});
	};

	const resolveRequest = (answer: ScriptedAnswer | undefined) => {
		resolveAnswer?.(answer);
		resolveAnswer = undefined;
		pendingRefusal = undefined;
	};

	const end = () => {
		resolveGreeting?.(false);
		resolveRequest(undefined);
		wake?.();
	};

	const leave = () => {
		left = true;
		end();
	};

	const channel: CallerChannel = {
		name,
		get left() {
			return left;
		},
		get waiting() {
			return requests.length > 0;
		},
		async next() {
			const waitForMore = async () => new Promise<void>(resolve => {
				wake = resolve;
			});
			while (requests.length === 0 && !left && !closed) {
				await waitForMore();
			}

			return requests.shift();
		},
		greet() {
			resolveGreeting?.(true);
			resolveGreeting = undefined;
		},
		async answer(result, state) {
			resolveRequest({...result, state});
		},
		refuse(code, text) {
			refusal = code;
			if (resolveAnswer) {
				pendingRefusal = {rows: [], end: {kind: 'error', code, text}};
			} else if (!resolveGreeting) {
				leave();
			}
		},
		endRefusal(state) {
			resolveRequest(pendingRefusal && {...pendingRefusal, state});
		},
		close() {
			closed = true;
			requests.length = 0;
			end();
		},
	};

	return {
		channel,
		get refusal() {
			return refusal;
		},
		get closed() {
			return closed;
		},
		async open(database, key = name) {
			const greeted = new Promise<boolean>(resolve => {
				resolveGreeting = resolve;
			});
			send({kind: 'open', database, key});
			return greeted;
		},
		async ask(id, statement) {
			if (closed) {
				return undefined;
			}

			const answered = new Promise<ScriptedAnswer | undefined>(resolve => {
				resolveAnswer = resolve;
			});
			send({kind: 'statement', id, statement});
			return answered;
		},
		leave,
	};
}
