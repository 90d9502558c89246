import {createSilentLog} from '../../src/log/silent-log.js';
import {parseStatement} from '../../src/platform/caller-lines.js';
import {leave} from '../../src/proxy/leave.js';
import {createScriptedCaller} from '../../src/stand-ins/proxies/scripted-caller.js';
import {SessionState} from '../../src/statements/statement.js';
import {createProxyBench} from './proxy-bench.js';
import {
	noteOutcome, findFaultsAtEnd, findCommitFaults, getPromise, NOTHING_KEPT, noteStates, watchBegun, watchChannel, type Ask, type Played,
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
	const players: Played[] = [];
	const closedPorts = new Set<number>();
	const endedHosts = new Set<number>();
	const count = (what: string, times = 1) => {
		tally[what] = (tally[what] ?? 0) + times;
	};

	const play = async (plan: CallerPlan, number: number) => {
		await clock.sleep(plan.opensAtMs);
		const proxy = bench.proxies[plan.host]!;
		if (closedPorts.has(plan.host)) {
			return;
		}

		const name = `h${plan.host}c${number}`;
		const caller = createScriptedCaller(name, {clock, requestMs: plan.requestMs});
		const player: Played = {
			name, plan, caller, taken: [], asks: [], promises: new Map(), acknowledged: new Set(), greeted: false,
		};
		players.push(player);
		void proxy.kernel.getOrThrow('gateway').serve(watchChannel(caller.channel, player.taken, since));
		player.greeted = await caller.open(plan.database);
		if (player.greeted) {
			await clock.sleep(plan.firstRestMs);
			await act(player);
		}
	};

	const act = async (player: Played) => {
		const isOver = () => player.caller.refusal !== undefined || player.caller.closed || since() >= PLAY_MS;
		const ask = async (text: string) => {
			const made: Ask = {id: `${player.name}-${player.asks.length}`, text, ended: false};
			player.asks.push(made);
			made.answer = await player.caller.ask(made.id, parseStatement(text));
			made.ended = true;
			if (!made.answer && !endedHosts.has(player.plan.host)) {
				faults.push(`${made.id} (${text}) had no answer when its session ended, at ${since()}`);
			}

			return made;
		};

		const transact = async ({statements, innerRestMs}: Extract<CallerStep, {kind: 'transaction'}>) => {
			const first = await ask('BEGIN');
			let broken = getPromise(player, first);
			let wrote = false;
			for (let i = 0; i < statements && !isOver() && !broken; i++) {
				await clock.sleep(innerRestMs);
				if (isOver()) {
					break;
				}

				wrote ||= i % 2 === 0;
				broken = getPromise(player, await ask(i % 2 === 0 ? `WRITE ${player.name} ${i}` : `READ ${player.name}`));
			}

			await clock.sleep(innerRestMs);
			if (isOver() || first.answer?.state !== SessionState.Open) {
				return;
			}

			const end = await ask('COMMIT');
			noteOutcome(player, end, wrote, broken);
		};

		while (!isOver()) {
			for (const next of player.plan.steps) {
				if (isOver()) {
					return;
				}

				if (next.kind === 'transaction') {
					await transact(next);
				} else {
					const made = await ask(next.kind === 'read' ? `READ ${player.name}` : (next.kind === 'write' ? `WRITE ${player.name} 1` : 'SET studio boston'));
					noteOutcome(player, made, next.kind === 'write');
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

		const own = players.filter(({plan}) => plan.host === host);
		faults.push(...own.flatMap(player => findFaultsAtEnd(player, orderedAt)));
		const soFar = begun.length;
		await clock.sleep(schedule.lastLinesMs);
		for (const {id, at} of begun.slice(soFar).filter(({id}) => id.startsWith(`h${host}c`))) {
			faults.push(`${id} was begun at an endpoint at ${at}, after its host had left at ${orderedAt + tookMs}`);
		}

		endedHosts.add(host);
		bench.system.kill(proxy);
		for (const player of own) {
			noteCut(player, orderedAt);
			player.caller.leave();
		}
	};

	/** Records the requests without an answer at the end of a process; only callers that were notified may have any. */
	const noteCut = ({caller, asks, name, promises}: Played, orderedAt: number) => {
		for (const {id, text, ended} of asks) {
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

	const all = Promise.all([...schedule.stops.map(async order => stop(order)), ...schedule.callers.map(async (plan, i) => play(plan, i))]);
	await clock.runUntil(all, PLAY_MS + GRACE_MS + MAX_UNREAD_MS + AFTERMATH_MS);
	await clock.advance(AFTERMATH_MS);
	faults.push(...findCommitFaults(bench, players));
	for (const answer of players.flatMap(({asks}) => asks.map(ask => ask.answer))) {
		count(`answer ${answer ? (answer.end.kind === 'error' ? answer.end.code : 'done') : 'none'}`);
	}

	bench.system.stop();
	return faults;
}
