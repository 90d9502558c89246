import type {Random} from '../../random/random.js';
import {createScriptedCaller, type ScriptedAnswer, type ScriptedCaller} from '../../stand-ins/proxies/scripted-caller.js';
import type {SimulatedProxies, SimulatedProxy} from '../../stand-ins/proxies/simulated-proxies.js';
import type {VirtualClock} from '../../stand-ins/time/virtual-clock.js';
import {Access, SessionState, type Statement} from '../../statements/statement.js';
import {AnswerCode} from '../../statements/statement-answer.js';
import type {RequestShape, SiteShape} from './site-shapes.js';

/** Outcome of one request. */
export type RequestOutcome = {
	readonly shape: RequestShape;
	readonly sentAt: number;
	/** Time until it completed, in milliseconds; undefined where it never did. */
	readonly tookMs: number | undefined;
	readonly refusals: number;
};

/** Callers that send a site's requests. */
export type SiteCallers = {
	readonly outcomes: readonly RequestOutcome[];
	/** Sends requests for that long, at `rate` times the rate in calm times. */
	send(lengthMs: number, rate: number): void;
};

/** Pause of a caller between the statements of a transaction, in milliseconds. */
const THINK_TIME_MS = 15;

/** Statements of a transaction, besides its begin and commit. */
const STATEMENTS = 2;

/** Delay before a retry, in milliseconds; these callers do not read the retry-after of a refusal. */
const RETRY_DELAY_MS = 300;

type AttemptResult = 'done' | 'refused' | 'failed';

/** Creates callers whose requests go to random living hosts, as behind a load balancer without load information. */
export function createSiteCallers(system: SimulatedProxies, site: SiteShape, clock: VirtualClock, random: Random): SiteCallers {
	const outcomes: RequestOutcome[] = [];
	const idle = new Map<string, ScriptedCaller[]>();
	let lastId = 0;

	const createId = () => `r${++lastId}`;

	const pickHost = (): SimulatedProxy => {
		const living = system.proxies.filter(({killed}) => !killed);
		return living[Math.floor(random.fraction() * living.length)]!;
	};

	const openCaller = async (host: SimulatedProxy, database: string, shape: RequestShape) => {
		const key = `${host.name} ${database}`;
		const idleCaller = shape.opensSession ? undefined : idle.get(key)?.pop();
		if (idleCaller && !idleCaller.closed) {
			return idleCaller;
		}

		const caller = createScriptedCaller();
		void host.kernel.getOrThrow('gateway').serve(caller.channel);
		return await caller.open(database) ? caller : undefined;
	};

	const releaseCaller = (host: SimulatedProxy, database: string, shape: RequestShape, caller: ScriptedCaller) => {
		if (shape.opensSession) {
			caller.leave();
			return;
		}

		const key = `${host.name} ${database}`;
		idle.set(key, [...idle.get(key) ?? [], caller]);
	};

	const classify = (response: ScriptedAnswer | undefined, mayRepeat: boolean): AttemptResult => {
		if (response?.end.kind === 'complete') {
			return 'done';
		}

		const didNotRun = response?.end.kind === 'error' && response.end.code !== AnswerCode.OutcomeUnknown;
		return didNotRun || mayRepeat ? 'refused' : 'failed';
	};

	const runTransaction = async (caller: ScriptedCaller, shape: RequestShape): Promise<AttemptResult> => {
		const readOnly = shape.writeShare === 0;
		const statements: Statement[] = [
			{kind: 'begin', readOnly},
			...Array.from({length: STATEMENTS}, (_, i): Statement => ({
				kind: 'run', access: readOnly || i === 0 ? Access.Read : Access.Write, text: readOnly || i === 0 ? `READ ${shape.name}` : `WRITE ${shape.name} x`,
			})),
			{kind: 'commit'},
		];
		for (const statement of statements) {
			const response = await caller.ask(createId(), statement);
			const end = classify(response, statement.kind !== 'commit' || readOnly);
			if (end !== 'done') {
				if (response && response.state !== SessionState.Idle) {
					await caller.ask(createId(), {kind: 'rollback'});
				}

				return end;
			}

			if (statement.kind === 'run') {
				await clock.sleep(THINK_TIME_MS);
			}
		}

		return 'done';
	};

	const runOnce = async (caller: ScriptedCaller, shape: RequestShape, draw: number): Promise<AttemptResult> => {
		if (draw < shape.transactionShare) {
			return runTransaction(caller, shape);
		}

		const writes = draw < shape.transactionShare + shape.writeShare;
		const access = writes ? Access.Write : Access.Read;
		return classify(await caller.ask(createId(), {kind: 'run', access, text: writes ? `WRITE ${shape.name} x` : `READ ${shape.name}`}), !writes);
	};

	const runRequest = async (shape: RequestShape) => {
		const sentAt = clock.now();
		const draw = random.fraction();
		const database = `${shape.name}-${Math.floor(random.fraction() * site.groups)}`;
		let refusals = 0;
		for (let attempt = 0; attempt <= shape.retries && clock.now() < sentAt + shape.deadlineMs; attempt++) {
			const host = pickHost();
			const caller = await openCaller(host, database, shape);
			const end = caller ? await runOnce(caller, shape, draw) : 'refused';
			if (caller) {
				releaseCaller(host, database, shape, caller);
			}

			if (end === 'done') {
				outcomes.push({
					shape, sentAt, tookMs: clock.now() - sentAt, refusals,
				});
				return;
			}

			refusals++;
			if (end === 'failed') {
				break;
			}

			await clock.sleep(RETRY_DELAY_MS);
		}

		outcomes.push({
			shape, sentAt, tookMs: undefined, refusals,
		});
	};

	const sendShape = async (shape: RequestShape, until: number, rate: number) => {
		const meanGapMs = 1000 / (shape.perSecond * rate);
		for (;;) {
			await clock.sleep(-Math.log(1 - random.fraction()) * meanGapMs);
			if (clock.now() >= until) {
				return;
			}

			void runRequest(shape);
		}
	};

	return {
		outcomes,
		send(lengthMs, rate) {
			for (const shape of site.requests) {
				void sendShape(shape, clock.now() + lengthMs, rate);
			}
		},
	};
}
