import type {CallerChannel, CallerRequest} from '../../gateway/caller-channel.js';
import type {StatementResult} from '../../gateway/statement-result.js';
import type {SessionState, Statement} from '../../statements/statement.js';
import type {Clock} from '../../time/clock.js';
import type {AnswerCode} from '../../statements/statement-answer.js';

/** An answer with the session's state behind it. */
export type ScriptedAnswer = StatementResult & {readonly state: SessionState};

/** A caller whose requests a test or a schedule makes. */
export type ScriptedCaller = {
	readonly channel: CallerChannel;
	/** Opens the session, showing a key where it has one; false where it was refused. */
	open(database: string, key?: string): Promise<boolean>;
	/** Sends a statement and resolves with its answer, undefined where the session ended before. */
	ask(id: string, statement: Statement): Promise<ScriptedAnswer | undefined>;
	/** Leaves at once. */
	leave(): void;
	/** Why the session was refused or ended, as it was told. */
	readonly refusal: AnswerCode | undefined;
	readonly closed: boolean;
};

/** How far a caller is from its host. */
export type CallerDistance = {
	readonly clock: Clock;
	/** Time that a request is on its way, or waits unread at a host that is late, in milliseconds. */
	readonly requestMs: number;
};

/**
 * Creates a caller.
 * @param distance Without it, a request is read at once.
 */
export function createScriptedCaller(name = 'caller', distance?: CallerDistance): ScriptedCaller {
	const requests: CallerRequest[] = [];
	let left = false;
	let closed = false;
	let refusal: AnswerCode | undefined;
	let wake: (() => void) | undefined;
	let takeGreeting: ((greeted: boolean) => void) | undefined;
	let takeAnswer: ((answer: ScriptedAnswer | undefined) => void) | undefined;
	/** An error that waits for the session's state behind it. */
	let refused: StatementResult | undefined;

	const arrive = (req: CallerRequest) => {
		// What comes after the end of the session reaches nobody.
		if (!closed) {
			requests.push(req);
			wake?.();
		}
	};

	const send = (req: CallerRequest) => {
		if (!distance) {
			arrive(req);
			return;
		}

		void distance.clock.sleep(distance.requestMs).then(() => {
			arrive(req);
		});
	};

	const settle = (answer: ScriptedAnswer | undefined) => {
		takeAnswer?.(answer);
		takeAnswer = undefined;
		refused = undefined;
	};

	const end = () => {
		takeGreeting?.(false);
		settle(undefined);
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
			takeGreeting?.(true);
			takeGreeting = undefined;
		},
		async answer(result, state) {
			settle({...result, state});
		},
		refuse(code, text) {
			refusal = code;
			if (takeAnswer) {
				refused = {rows: [], end: {kind: 'error', code, text}};
			} else if (!takeGreeting) {
				leave();
			}
		},
		endRefusal(state) {
			settle(refused && {...refused, state});
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
				takeGreeting = resolve;
			});
			send({kind: 'open', database, key});
			return greeted;
		},
		async ask(id, statement) {
			if (closed) {
				return undefined;
			}

			const answered = new Promise<ScriptedAnswer | undefined>(resolve => {
				takeAnswer = resolve;
			});
			send({kind: 'statement', id, statement});
			return answered;
		},
		leave,
	};
}
