import fastify, {type FastifyInstance} from 'fastify';
import * as z from 'zod';
import type {DatabaseGroup} from './database-group.js';
import type {DatabaseServer} from './database-server.js';
import {applyFault, faultCommandSchema} from './fault-command.js';

const orderSchema = z.object({server: z.int().min(0)});

/**
 * Creates the HTTP interface to a stand-in group's faults.
 *
 * `GET /faults` answers a list of what each server is and suffers; `POST /faults` takes `{server, fault, …}`, where
 * `server` counts from 0, and answers the same of that server. What cannot be understood is answered with 400.
 */
export function createFaultControl(group: DatabaseGroup): FastifyInstance {
	const control = fastify();

	control.get('/faults', async () => group.servers.map(server => describeServer(server)));

	control.post('/faults', async (req, res) => {
		const order = orderSchema.safeParse(req.body);
		const server = order.success ? group.servers[order.data.server] : undefined;
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
