import process from 'node:process';
import {checkLeaseSchedules} from './check-lease-schedules.js';

/** Plays the schedules of the failover lease given by the JSON argument and prints the report as JSON. */
console.log(JSON.stringify(await checkLeaseSchedules(JSON.parse(process.argv[2]!) as {readonly runs: number; readonly seed: number})));
