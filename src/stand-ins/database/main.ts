/**
 * Runs a stand-in database group as a process, with one PostgreSQL port per server and one HTTP port for faults, on
 * loopback. Once all ports are open it prints one line of JSON, `{"servers": ["ip:port", …], "control": "http://ip:port"}`.
 * It stops on SIGTERM.
 */
import process from 'node:process';
import {defineCommand, runMain} from 'citty';
import {createSystemRandom} from '../../random/system-random.js';
import {createSystemClock} from '../../time/system-clock.js';
import {DEFAULT_SERVER_PARAMETERS} from './database-server.js';
import {createFaultControl} from './fault-control.js';
import {startPgGroup} from './pg-group.js';

const HOST = '127.0.0.1';

const command = defineCommand({
	meta: {name: 'stand-in-database', description: 'A stand-in database group'},
	args: {
		ports: {type: 'string', default: '0,0,0', description: 'PostgreSQL ports, one per server; 0 for any'},
		control: {type: 'string', default: '0', description: 'HTTP port for faults; 0 for any'},
		password: {type: 'string', description: 'Password required of every client; absent: none is required'},
		connections: {type: 'string', default: String(DEFAULT_SERVER_PARAMETERS.connections), description: 'Maximum number of connections of each server'},
		slots: {type: 'string', default: String(DEFAULT_SERVER_PARAMETERS.slots), description: 'Maximum number of statements that each server runs at once'},
		serviceMs: {type: 'string', default: String(DEFAULT_SERVER_PARAMETERS.serviceMs), description: 'Mean time of a statement in milliseconds'},
		lagMs: {type: 'string', default: String(DEFAULT_SERVER_PARAMETERS.replicationLagMs), description: 'Replication lag in milliseconds'},
	},
	async run({args}) {
		const {group, stop} = await startPgGroup({
			host: HOST,
			ports: args.ports.split(',').map(Number),
			password: args.password,
			clock: createSystemClock(),
			random: createSystemRandom(),
			serverParameters: {
				connections: Number(args.connections), slots: Number(args.slots), serviceMs: Number(args.serviceMs), replicationLagMs: Number(args.lagMs),
			},
		});
		const control = createFaultControl(group);
		const controlAddress = await control.listen({host: HOST, port: Number(args.control)});
		process.once('SIGTERM', async () => {
			await control.close();
			await stop();
		});
		console.log(JSON.stringify({servers: group.servers.map(({address}) => address), control: controlAddress}));
	},
});

await runMain(command);
