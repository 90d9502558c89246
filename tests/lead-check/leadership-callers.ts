import {type Route, ReadPolicy} from '../../src/routes/routing.js';
import {createScriptedCaller, type ScriptedCaller} from '../../src/stand-ins/proxies/scripted-caller.js';
import type {SimulatedProxy} from '../../src/stand-ins/proxies/simulated-proxies.js';
import {Access, SessionState, type Statement} from '../../src/statements/statement.js';
import {AnswerCode} from '../../src/statements/statement-answer.js';
import {ROUTES, type World} from './leadership-world.js';

/** Codes that promise a caller that no effect of its attempt is kept. */
const NOT_KEPT_CODES: ReadonlySet<AnswerCode> = new Set([
	AnswerCode.Overloaded, AnswerCode.Aborted, AnswerCode.Lagging, AnswerCode.ReadOnly, AnswerCode.WrongEndpoint, AnswerCode.TooManyConnections,
]);

function findProxy({system}: World, name: string): SimulatedProxy {
	return system.proxies.findLast(proxy => proxy.name === name)!;
}

/** Runs one caller after the other at one proxy, each for several operations. */
export async function runCaller(world: World, name: string, index: number) {
	const {clock, random} = world;
	for (let session = 0; !world.stopped; session++) {
		const proxy = findProxy(world, name);
		if (proxy.killed) {
			await clock.sleep(50);
			continue;
		}

		const route = ROUTES[Math.floor(random.fraction() * ROUTES.length)]!;
		const caller = createScriptedCaller(`${name}-${index}-${session}`);
		const ended = proxy.kernel.getOrThrow('gateway').serve(caller.channel);
		void ended;
		if (await unlessKilled(proxy, caller.open(route.database))) {
			await runOperations(world, proxy, caller, route);
		}

		caller.leave();
		await clock.sleep(20);
	}
}

/** Resolves like the promise, or to undefined once the proxy is killed, since a killed proxy does not answer. */
async function unlessKilled<T>({termination: death}: SimulatedProxy, promise: Promise<T>): Promise<T | undefined> {
	return Promise.race([promise, death.then(() => undefined)]);
}

async function runOperations(world: World, proxy: SimulatedProxy, caller: ScriptedCaller, route: Route) {
	const own: string[] = [];
	for (let i = 0; i < 12 && !world.stopped && !caller.closed; i++) {
		await world.clock.sleep(10 + (60 * world.random.fraction()));
		const draw = world.random.fraction();
		const healthy = draw < 0.45
			? await readOnce(world, proxy, caller, route, own)
			: (draw < 0.7 ? await writeOnce(world, proxy, caller, own) : await runTransaction(world, proxy, caller, route, own));
		if (!healthy) {
			return;
		}
	}
}

let lastId = 0;

function createId(): string {
	lastId++;
	return `s${lastId}`;
}

const READ: Statement = {kind: 'run', access: Access.Read, text: 'READ item'};

async function readOnce(world: World, proxy: SimulatedProxy, caller: ScriptedCaller, route: Route, own: readonly string[]) {
	const id = createId();
	world.drains?.noteSingle(id);
	world.history.requireRead(id, createRequirement(world, route, own));
	const answer = await unlessKilled(proxy, caller.ask(id, READ));
	if (answer?.end.kind === 'complete') {
		world.served++;
		world.history.recordRead(id);
	}

	return answer !== undefined;
}

function createRequirement({clock}: World, route: Route, own: readonly string[]) {
	return {firstByteAt: clock.now(), maxReadAgeMs: route.maxReadAgeMs, own: route.policy === ReadPolicy.OwnWrites ? [...own] : []};
}

async function writeOnce(world: World, proxy: SimulatedProxy, caller: ScriptedCaller, own: string[]) {
	const id = createId();
	world.drains?.noteSingle(id);
	const answer = await unlessKilled(proxy, caller.ask(id, {kind: 'run', access: Access.Write, text: `WRITE item ${id}`}));
	recordEnd(world, id, answer, own);
	return answer !== undefined;
}

function recordEnd({history, clock}: World, id: string, answer: Awaited<ReturnType<ScriptedCaller['ask']>>, own: string[]) {
	if (!answer) {
		history.recordUnknown();
	} else if (answer.end.kind === 'complete') {
		history.recordAcknowledged(id, clock.now());
		own.push(id);
	} else if (NOT_KEPT_CODES.has(answer.end.code)) {
		history.recordRefused(id);
	} else {
		history.recordUnknown();
	}
}

async function runTransaction(world: World, proxy: SimulatedProxy, caller: ScriptedCaller, route: Route, own: string[]) {
	const readOnly = world.random.fraction() < 0.4;
	const requirement = createRequirement(world, route, own);
	const ask = async (id: string, statement: Statement) => unlessKilled(proxy, caller.ask(id, statement));
	await ask(createId(), {kind: 'begin', readOnly});
	const steps = 1 + Math.floor(world.random.fraction() * 3);
	let state: SessionState | undefined = SessionState.Open;
	for (let i = 0; i < steps && state === SessionState.Open; i++) {
		const id = createId();
		const writes = !readOnly && world.random.fraction() < 0.6;
		world.history.requireRead(id, requirement);
		const answer = await ask(id, writes ? {kind: 'run', access: Access.Write, text: `WRITE item ${id}`} : READ);
		if (answer?.end.kind === 'complete' && !writes) {
			world.history.recordRead(id);
		}

		state = answer?.state;
		await world.clock.sleep(40 * world.random.fraction());
	}

	if (state === undefined) {
		return false;
	}

	if (state === SessionState.Failed || world.random.fraction() < 0.1) {
		return await ask(createId(), {kind: 'rollback'}) !== undefined;
	}

	const id = createId();
	const answer = await ask(id, {kind: 'commit'});
	if (readOnly || answer?.end.kind !== 'complete') {
		recordCommitEnd(world, id, answer);
		return answer !== undefined;
	}

	recordCommit(world, id, own);
	return true;
}

function recordCommitEnd({history}: World, id: string, answer: Awaited<ReturnType<ScriptedCaller['ask']>>) {
	if (answer?.end.kind === 'error' && NOT_KEPT_CODES.has(answer.end.code)) {
		history.recordRefused(id);
	} else if (answer?.end.kind !== 'complete') {
		history.recordUnknown();
	}
}

/** Records a commit as acknowledged. A transaction that wrote nothing commits nothing, so it is not recorded. */
function recordCommit({history, clock}: World, id: string, own: string[]) {
	if (history.wroteAnything(id)) {
		history.recordAcknowledged(id, clock.now());
		own.push(id);
	}
}

