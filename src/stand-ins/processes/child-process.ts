import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
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
	/** Told of each further line. */
	onLine?(line: string): void;
};

/** A process and the line that showed that it was ready. */
export type ReadyProcess = {
	readonly process: OwnProcess;
	readonly readyLine: string;
};

const STOP_BOUND_MS = 15_000;

/** Starts a script of the build with this Node and waits until it is ready; rejects where it ends before. */
export async function startOwnProcess(options: OwnProcessOptions): Promise<ReadyProcess> {
	const script = new URL(`../../../dist/${options.script}`, import.meta.url);
	const child = spawn(process.execPath, [script.pathname, ...options.args ?? []], {stdio: ['ignore', 'pipe', 'inherit']});
	const readyLine = await new Promise<string>((resolve, reject) => {
		const lines = createInterface({input: child.stdout});
		lines.on('line', line => {
			if (options.isReady(line)) {
				resolve(line);
			}

			options.onLine?.(line);
		});
		child.once('exit', code => {
			reject(new Error(`${options.script} ended with ${code ?? 'a signal'} before it was ready`));
		});
	});
	return {process: createOwnProcess(child), readyLine};
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
