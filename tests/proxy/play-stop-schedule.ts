import {createSilentLog} from '../../src/log/silent-log.js';
import {parseStatement} from '../../src/platform/caller-lines.js';
import {leave} from '../../src/proxy/leave.js';
import {createScriptedCaller} from '../../src/stand-ins/proxies/scripted-caller.js';
import {SessionState} from '../../src/statements/statement.js';
import {createProxyBench} from './proxy-bench.js';
import {
	noteOutcome, findFaultsAtEnd, findCommitFaults, getPromise, NOTHING_KEPT, noteStates, watchBegun, watchChannel, type SentStatement, type CallerRecord,
} from './stop-observations.js';
import {
	AFTERMATH_MS, GRACE_MS, MIN_REST_MS, MAX_UNREAD_MS, PLAY_MS, type CallerPlan, type CallerStep, type StopOrder, type StopSchedule, type StopTally,
} from './stop-schedule.js';

/** Plays a schedule and returns the violations of the rules, each in one line. */
export async function playStopSchedule(schedule: StopSchedule, tally: StopTally = {}): Promise<string[]> {
	const bench = await createProxyBench({...schedule.size, promoteMs: schedule.promoteMs});
	const {clock} = bench;
	const startedAt = clock.now();
	const since = () => clock.now() - startedAt;
	const faults: string[] = [];
	const begun = watchBegun(bench, since);
	const callerRecords: CallerRecord[] = [];
	const closedPorts = new Set<number>();
	const endedHosts = new Set<number>();
	const count = (what: string, times = 1) => {
		tally[what] = (tally[what] ?? 0) + times;
	};

	const runCaller = async (plan: CallerPlan, number: number) => {
		await clock.sleep(plan.opensAtMs);
		const proxy = bench.proxies[plan.host]!;
		if (closedPorts.has(plan.host)) {
			return;
		}

		const name = `h${plan.host}c${number}`;
		const caller = createScriptedCaller(name, {clock, requestMs: plan.requestMs});
		const callerRecord: CallerRecord = {
			name, plan, caller, readRequests: [], sentStatements: [], promises: new Map(), acknowledged: new Set(), greeted: false,
		};
		callerRecords.push(callerRecord);
		void proxy.kernel.getOrThrow('gateway').serve(watchChannel(caller.channel, callerRecord.readRequests, since));
		callerRecord.greeted = await caller.open(plan.database);
		if (callerRecord.greeted) {
			await clock.sleep(plan.firstRestMs);
			await act(callerRecord);
		}
	};

	const act = async (callerRecord: CallerRecord) => {
		const isOver = () => callerRecord.caller.refusal !== undefined || callerRecord.caller.closed || since() >= PLAY_MS;
		const ask = async (text: string) => {
			const sent: SentStatement = {id: `${callerRecord.name}-${callerRecord.sentStatements.length}`, text, ended: false};
			callerRecord.sentStatements.push(sent);
			sent.answer = await callerRecord.caller.ask(sent.id, parseStatement(text));
			sent.ended = true;
			if (!sent.answer && !endedHosts.has(callerRecord.plan.host)) {
				faults.push(`${sent.id} (${text}) had no answer when its session ended, at ${since()}`);
			}

			return sent;
		};

		const transact = async ({statements, innerRestMs}: Extract<CallerStep, {kind: 'transaction'}>) => {
			const first = await ask('BEGIN');
			let broken = getPromise(callerRecord, first);
			let wrote = false;
			for (let i = 0; i < statements && !isOver() && !broken; i++) {
				await clock.sleep(innerRestMs);
				if (isOver()) {
					break;
				}

				wrote ||= i % 2 === 0;
				broken = getPromise(callerRecord, await ask(i % 2 === 0 ? `WRITE ${callerRecord.name} ${i}` : `READ ${callerRecord.name}`));
			}

			await clock.sleep(innerRestMs);
			if (isOver() || first.answer?.state !== SessionState.Open) {
				return;
			}

			const end = await ask('COMMIT');
			noteOutcome(callerRecord, end, wrote, broken);
		};

		while (!isOver()) {
			for (const next of callerRecord.plan.steps) {
				if (isOver()) {
					return;
				}

				if (next.kind === 'transaction') {
					await transact(next);
				} else {
					const sent = await ask(next.kind === 'read' ? `READ ${callerRecord.name}` : (next.kind === 'write' ? `WRITE ${callerRecord.name} 1` : 'SET studio boston'));
					noteOutcome(callerRecord, sent, next.kind === 'write');
				}

				await clock.sleep(Math.max(MIN_REST_MS, next.restMs));
			}
		}
	};

	const stop = async ({host, atMs}: StopOrder) => {
		await clock.sleep(atMs);
		const proxy = bench.proxies[host]!;
		noteStates(bench, proxy, count);
		const gateway = proxy.kernel.getOrThrow('gateway');
		const orderedAt = since();
		await leave({
			gateway,
			leadershipWatch: proxy.kernel.getOrThrow('leadershipWatch'),
			checkoutServer: proxy.kernel.getOrThrow('checkoutServer'),
			callerPort: {
				close() {
					closedPorts.add(host);
				},
			},
			clock: proxy.clock,
			log: createSilentLog(),
			graceMs: GRACE_MS,
		});
		const tookMs = since() - orderedAt;
		if (tookMs > GRACE_MS) {
			faults.push(`host ${host} left after ${tookMs} ms`);
		}

		const own = callerRecords.filter(({plan}) => plan.host === host);
		faults.push(...own.flatMap(callerRecord => findFaultsAtEnd(callerRecord, orderedAt)));
		const soFar = begun.length;
		await clock.sleep(schedule.lastLinesMs);
		for (const {id, at} of begun.slice(soFar).filter(({id}) => id.startsWith(`h${host}c`))) {
			faults.push(`${id} was begun at an endpoint at ${at}, after its host had left at ${orderedAt + tookMs}`);
		}

		endedHosts.add(host);
		bench.system.kill(proxy);
		for (const callerRecord of own) {
			noteUnanswered(callerRecord, orderedAt);
			callerRecord.caller.leave();
		}
	};

	/** Records the requests without an answer at the end of a process; only callers that were notified may have any. */
	const noteUnanswered = ({caller, sentStatements, name, promises}: CallerRecord, orderedAt: number) => {
		for (const {id, text, ended} of sentStatements) {
			if (ended) {
				continue;
			}

			count('unanswered at the end');
			if (caller.refusal === undefined) {
				faults.push(`${id} (${text}) of ${name} has no answer and no refusal at the end of its host, ordered at ${orderedAt}`);
			} else if (NOTHING_KEPT.has(caller.refusal)) {
				promises.set(id, `its session ended by ${caller.refusal}`);
			}
		}
	};

	for (const {server, atMs, slowMs} of schedule.slowness) {
		void clock.sleep(atMs).then(() => {
			bench.group.servers[server]!.slowMs = slowMs;
		});
	}

	if (schedule.replaceAtMs !== undefined) {
		void clock.sleep(schedule.replaceAtMs).then(() => {
			bench.getPrimary().leaving = true;
			bench.system.registerEndpoints();
		});
	}

	const all = Promise.all([...schedule.stops.map(async order => stop(order)), ...schedule.callers.map(async (plan, i) => runCaller(plan, i))]);
	await clock.runUntil(all, PLAY_MS + GRACE_MS + MAX_UNREAD_MS + AFTERMATH_MS);
	await clock.advance(AFTERMATH_MS);
	faults.push(...findCommitFaults(bench, callerRecords));
	for (const answer of callerRecords.flatMap(({sentStatements}) => sentStatements.map(sent => sent.answer))) {
		count(`answer ${answer ? (answer.end.kind === 'error' ? answer.end.code : 'done') : 'none'}`);
	}

	bench.system.stop();
	return faults;
}
