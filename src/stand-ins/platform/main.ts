import process from 'node:process';
import {defineCommand, runMain} from 'citty';
import {createSystemClock} from '../../time/system-clock.js';
import {createPlatformServer} from './platform-server.js';
import {createObjectStore} from './object-store.js';
import {createFaultInjector} from './platform-faults.js';

/** Runs the stand-in platform as a process. Once it listens, it prints `{"ready":true,"url":…}` on one line. */
const command = defineCommand({
	meta: {name: 'stand-in-platform', description: 'A stand-in for the platform\'s object API and host list'},
	args: {
		address: {type: 'string', default: '127.0.0.1', description: 'IP address to listen on'},
		port: {type: 'string', default: '0', description: 'Port to listen on; 0 for any'},
	},
	async run({args}) {
		const clock = createSystemClock();
		const app = createPlatformServer({store: createObjectStore({clock}), faultInjector: createFaultInjector({clock})});
		const url = await app.listen({host: args.address, port: Number(args.port)});
		const close = () => {
			void app.close();
		};

		process.once('SIGTERM', close);
		process.once('SIGINT', close);
		console.log(JSON.stringify({ready: true, url}));
	},
});

await runMain(command);
