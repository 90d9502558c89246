import fastify, {type FastifyInstance} from 'fastify';
import * as z from 'zod';
import type {DatabaseGroup} from './database-group.js';
import type {DatabaseServer} from './database-server.js';
import {applyFault, faultCommandSchema} from './fault-command.js';

const targetSchema = z.object({server: z.int().min(0)});

/**
 * Creates the HTTP interface to the faults of a stand-in group.
 *
 * `GET /faults` returns a list with the status and the faults of each server. `POST /faults` takes `{server, fault, …}`,
 * where `server` is an index from 0, and returns the same for that server. An invalid request gets status 400.
 */
export function createFaultControl(group: DatabaseGroup): FastifyInstance {
	const control = fastify();

	control.get('/faults', async () => group.servers.map(server => describeServer(server)));

	control.post('/faults', async (req, res) => {
		const target = targetSchema.safeParse(req.body);
		const server = target.success ? group.servers[target.data.server] : undefined;
		if (!server) {
			return res.code(400).send({message: `server must be 0 to ${group.servers.length - 1}`});
		}

		const {server: _, ...rest} = req.body as Record<string, unknown>;
		const command = faultCommandSchema.safeParse(rest);
		if (!command.success) {
			return res.code(400).send({message: z.prettifyError(command.error)});
		}

		applyFault(server, command.data);
		return describeServer(server);
	});

	return control;
}

function describeServer({address, member, faults, connections}: DatabaseServer) {
	const {killed, frozen, answerDelayMs} = faults;
	return {
		address, killed, frozen, answerDelayMs, connections, status: member.getStatus(),
	};
}
