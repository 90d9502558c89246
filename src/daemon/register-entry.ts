import {createExplanations} from '../explanations/create-explanations.js';
import type {Kernel} from '../kernel/kernel.js';
import {createRetries} from '../retries/create-retries.js';
import {createRequestReceiver} from '../routing/received-request.js';
import {createEntry} from '../routing/create-entry.js';
import {createEntryAnswers} from '../routing/entry-answers.js';
import {createOwnerClient} from '../routing/owner-client.js';
import {createRequestTries} from '../routing/request-tries.js';
import {createRecentSessions} from '../sessions/recent-sessions.js';
import {createSignedSessions} from '../sessions/signed-sessions.js';
import {createTransactionEntry} from '../transactions/create-transaction-entry.js';
import {getCommonDependencies} from './common-dependencies.js';

/** Registers the services that handle a caller's request: sessions, explanations and the entry. */
export function registerEntry(kernel: Kernel): void {
	const common = getCommonDependencies(kernel);
	const {signingKeys} = kernel.getOrThrow('settings');
	const hosts = kernel.getOrThrow('hosts');
	const peers = kernel.getOrThrow('peers');
	const sessions = createSignedSessions({keys: signingKeys, random: common.random});
	const recentSessions = createRecentSessions();
	const explanations = createExplanations({
		...common, platform: kernel.getOrThrow('platform'), peers, hosts, signingKeys,
	});
	kernel.register('sessions', sessions);
	kernel.register('recentSessions', recentSessions);
	kernel.register('explanations', explanations);

	const ownerClient = createOwnerClient({
		clock: common.clock, hosts, peers, owners: kernel.getOrThrow('owners'), transactions: kernel.getOrThrow('transactions'),
	});
	const retries = createRetries();
	const receiver = createRequestReceiver({...common, configuration: kernel.getOrThrow('configuration'), sessions});
	const answers = createEntryAnswers({
		...common,
		hosts,
		sessions,
		explanations,
		onAnswer({session, group, requestId}) {
			recentSessions.note({
				session, group, requestId, at: common.clock.wall(),
			});
		},
		onServed(role) {
			kernel.get('metrics')?.countRead(role);
		},
	});
	const tries = createRequestTries({
		...common,
		hosts,
		owning: kernel.getOrThrow('owning'),
		ownerClient,
		retries,
		onRetry({refusal}) {
			if (refusal) {
				kernel.get('metrics')?.countRetry(refusal.code);
			}
		},
	});
	kernel.register('entry', {
		...createEntry({
			receiver, answers, tries, ownerClient, retries,
		}),
		...createTransactionEntry({
			requestReceiver: receiver, answers, tries, ownerClient, hosts,
		}),
	});
}
