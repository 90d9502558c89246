import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import type {Readable} from 'node:stream';
import {createInterface} from 'node:readline';

/** A process of the project's own, started by a demo, a benchmark or a test. */
export type OwnProcess = {
	readonly pid: number;
	/** Ends it in order and waits; kills it after `boundMs` milliseconds. Resolves with its exit code. */
	stop(boundMs?: number): Promise<number | undefined>;
	/** Ends it at once. */
	kill(): Promise<void>;
	/** Pauses it, and lets it go on. */
	pause(): void;
	resume(): void;
	readonly ended: boolean;
};

/** What to start. */
export type OwnProcessOptions = {
	/** Path of the script within the build, as in `daemon/main.js`; sources run by a loader start the build's too. */
	readonly script: string;
	readonly args?: readonly string[];
	/** Tells from a line of output that the process is ready; its value is handed back. */
	readonly isReady: (line: string) => boolean;
	/** Told of each line. */
	onLine?(line: string): void;
	/** Told of the process before it is ready, so that its starter can end it whatever happens. */
	onSpawned?(own: OwnProcess): void;
	/** How long it may take to be ready, in milliseconds. */
	readonly readyBoundMs?: number;
};

/** A process and the line that showed that it was ready. */
export type ReadyProcess = {
	readonly process: OwnProcess;
	readonly readyLine: string;
};

const STOP_BOUND_MS = 15_000;
const READY_BOUND_MS = 30_000;

/** Starts a script of the build with this Node and waits until it is ready; kills it and rejects where it ends before or takes too long. */
export async function startOwnProcess(options: OwnProcessOptions): Promise<ReadyProcess> {
	const {script, args = [], readyBoundMs = READY_BOUND_MS} = options;
	const path = new URL(`../../../dist/${script}`, import.meta.url).pathname;
	const child = spawn(process.execPath, [path, ...args], {stdio: ['ignore', 'pipe', 'inherit']});
	const own = createOwnProcess(child);
	options.onSpawned?.(own);
	// Guards against a process that is left behind: one that never becomes ready would outlive whoever waits for it.
	const timer = setTimeout(() => {
		void own.kill();
	}, readyBoundMs);
	try {
		return {process: own, readyLine: await waitForReadyLine(child, options)};
	} finally {
		clearTimeout(timer);
	}
}

async function waitForReadyLine(child: ChildProcess & {readonly stdout: Readable}, {script, isReady, onLine}: OwnProcessOptions): Promise<string> {
	return new Promise((resolve, reject) => {
		const lines = createInterface({input: child.stdout});
		lines.on('line', line => {
			if (isReady(line)) {
				resolve(line);
			}

			onLine?.(line);
		});
		child.once('exit', code => {
			reject(new Error(`${script} ended with ${code ?? 'a signal'} before it was ready`));
		});
	});
}

function createOwnProcess(child: ChildProcess): OwnProcess {
	const isEnded = () => child.exitCode !== null || child.signalCode !== null;

	const waitForEnd = async () => {
		if (!isEnded()) {
			await once(child, 'exit');
		}
	};

	return {
		pid: child.pid!,
		get ended() {
			return isEnded();
		},
		async stop(boundMs = STOP_BOUND_MS) {
			child.kill('SIGTERM');
			const timer = setTimeout(() => child.kill('SIGKILL'), boundMs);
			await waitForEnd();
			clearTimeout(timer);
			return child.exitCode ?? undefined;
		},
		async kill() {
			child.kill('SIGKILL');
			await waitForEnd();
		},
		pause() {
			child.kill('SIGSTOP');
		},
		resume() {
			child.kill('SIGCONT');
		},
	};
}
