import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import type {Readable} from 'node:stream';
import {createInterface} from 'node:readline';

/** A process that runs a script of the project, started by a demo, a benchmark or a test. */
export type ManagedProcess = {
	readonly pid: number;
	/**
	 * Sends SIGTERM, and SIGKILL if the process still runs after `timeoutMs` milliseconds, 15,000 by default. Resolves with its exit code, undefined where a
	 * signal ended it.
	 */
	stop(timeoutMs?: number): Promise<number | undefined>;
	/** Sends SIGKILL. Resolves once the process has ended. */
	kill(): Promise<void>;
	/** Sends SIGSTOP. */
	pause(): void;
	/** Sends SIGCONT. */
	resume(): void;
	readonly ended: boolean;
};

/** Options of a process to start. */
export type ManagedProcessOptions = {
	/** Path of the script within the build, as in `daemon/main.js`; also the build's script when the caller runs from source with a loader. */
	readonly script: string;
	readonly args?: readonly string[];
	/** Returns whether a line of output shows that the process is ready; the first such line is returned as `readyLine`. */
	readonly isReady: (line: string) => boolean;
	/** Called with each line of output. */
	onLine?(line: string): void;
	/** Called with the process before it is ready, so that the starter can end it in any case. */
	onSpawned?(managed: ManagedProcess): void;
	/** Maximum time until the process is ready, in milliseconds; default 30,000. */
	readonly readyTimeoutMs?: number;
};

/** A process, and the line of output that showed that it was ready. */
export type ReadyProcess = {
	readonly process: ManagedProcess;
	readonly readyLine: string;
};

const STOP_TIMEOUT_MS = 15_000;
const READY_TIMEOUT_MS = 30_000;

/** Starts a script of the build with this Node. Resolves once it is ready; kills it and rejects where it ends before that or takes too long. */
export async function startManagedProcess(options: ManagedProcessOptions): Promise<ReadyProcess> {
	const {script, args = [], readyTimeoutMs = READY_TIMEOUT_MS} = options;
	const path = new URL(`../../../dist/${script}`, import.meta.url).pathname;
	const child = spawn(process.execPath, [path, ...args], {stdio: ['ignore', 'pipe', 'inherit']});
	const managed = createManagedProcess(child);
	options.onSpawned?.(managed);
	// Kills a process that never becomes ready, which would otherwise outlive its starter.
	const timer = setTimeout(() => {
		void managed.kill();
	}, readyTimeoutMs);
	try {
		return {process: managed, readyLine: await waitForReadyLine(child, options)};
	} finally {
		clearTimeout(timer);
	}
}

async function waitForReadyLine(child: ChildProcess & {readonly stdout: Readable}, {script, isReady, onLine}: ManagedProcessOptions): Promise<string> {
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

function createManagedProcess(child: ChildProcess): ManagedProcess {
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
		async stop(timeoutMs = STOP_TIMEOUT_MS) {
			child.kill('SIGTERM');
			const timer = setTimeout(() => child.kill('SIGKILL'), timeoutMs);
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
