import * as z from 'zod';
import type {DatabaseServer} from './database-server.js';
import {ExchangeKind} from './exchange-kind.js';

/** The faults that can be injected into a running server, and the commands that end them. */
export const FaultKind = {
	Kill: 'kill',
	Restart: 'restart',
	Cut: 'cut',
	Heal: 'heal',
	Freeze: 'freeze',
	Thaw: 'thaw',
	Silence: 'silence',
	DelayAnswers: 'delay-answers',
	DropAnswers: 'drop-answers',
	ReplicationLag: 'replication-lag',
	ReplicationStall: 'replication-stall',
	Leaving: 'leaving',
} as const;

/** One of the faults in {@link FaultKind}. */
export type FaultKind = typeof FaultKind[keyof typeof FaultKind];

const ms = z.number().min(0);
const on = z.boolean().default(true);

/** Schema of a fault command. */
export const faultCommandSchema = z.discriminatedUnion('fault', [
	z.strictObject({fault: z.enum([FaultKind.Kill, FaultKind.Restart, FaultKind.Heal, FaultKind.Freeze, FaultKind.Thaw])}),
	/** `names`: hosts by application name and servers by address; absent: all of them. */
	z.strictObject({fault: z.literal(FaultKind.Cut), names: z.array(z.string()).optional()}),
	/** `from`: one host by application name; absent: all hosts. */
	z.strictObject({fault: z.literal(FaultKind.Silence), from: z.string().optional()}),
	z.strictObject({fault: z.literal(FaultKind.DelayAnswers), ms}),
	z.strictObject({fault: z.literal(FaultKind.DropAnswers), count: z.int().min(0), kind: z.enum(ExchangeKind).optional()}),
	z.strictObject({fault: z.literal(FaultKind.ReplicationLag), ms}),
	z.strictObject({fault: z.enum([FaultKind.ReplicationStall, FaultKind.Leaving]), on}),
]);

/** A command that starts or ends a fault. */
export type FaultCommand = z.infer<typeof faultCommandSchema>;

/** Executes a fault command on a server. */
export function applyFault(server: DatabaseServer, command: FaultCommand): void {
	switch (command.fault) {
		case FaultKind.Kill: {
			server.kill();
			break;
		}

		case FaultKind.Restart: {
			server.restart();
			break;
		}

		case FaultKind.Heal: {
			server.faults.heal();
			break;
		}

		case FaultKind.Freeze: {
			server.faults.freeze();
			break;
		}

		case FaultKind.Thaw: {
			server.faults.thaw();
			break;
		}

		case FaultKind.Cut: {
			server.faults.cut(command.names);
			break;
		}

		case FaultKind.Silence: {
			server.silenceConnections(command.from);
			break;
		}

		case FaultKind.DelayAnswers: {
			server.faults.delayAnswers(command.ms);
			break;
		}

		case FaultKind.DropAnswers: {
			server.faults.dropAnswers(command.count, command.kind);
			break;
		}

		case FaultKind.ReplicationLag: {
			server.setReplicationLag(command.ms);
			break;
		}

		case FaultKind.ReplicationStall: {
			server.setReplicationStalled(command.on);
			break;
		}

		case FaultKind.Leaving: {
			server.setLeaving(command.on);
			break;
		}
	}
}
