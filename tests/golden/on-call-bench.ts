import {createAuditTrail} from '../../src/audit/audit-trail.js';
import {groupKind} from '../../src/audit/audited-kinds.js';
import {createChangeApplier} from '../../src/audit/create-change-applier.js';
import type {Configuration, VersionedGroup} from '../../src/configuration/configuration.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {BOOTSTRAP_OPERATOR, createOperatorAccess, hashToken} from '../../src/operators/create-operator-access.js';
import {createOperatorCommands} from '../../src/operators/create-operator-commands.js';
import type {EndpointRow, FleetView} from '../../src/operators/fleet-view.js';
import type {CommandAnswer} from '../../src/operators/operator-commands.js';
import {createRecentSessions} from '../../src/sessions/recent-sessions.js';
import type {ObjectStore} from '../../src/stand-ins/platform/object-store.js';
import {createExplanationBench, createHost} from '../explanations/explanation-fixtures.js';

/** What the simulated owners report of an endpoint besides its configuration. */
export type EndpointState = Partial<EndpointRow>;

export const BOOTSTRAP_TOKEN = 'the token in the settings';

/** Creates three proxies with the operator commands, one store, and owners whose state the test sets. */
export function createOnCallBench() {
	const bench = createExplanationBench(3);
	const {clock, random, store, platform} = bench;
	const states = new Map<string, EndpointState>();
	const recentSessions = createRecentSessions();
	const configuration = createStoreConfiguration(store);
	const promotions: string[] = [];
	let promotionFailure: string | undefined;

	const fleet: FleetView = {
		async getEndpoints(group) {
			const groups = configuration.getGroups().filter(({cfg}) => group === undefined || cfg.name === group);
			return groups.flatMap(({cfg}) => cfg.endpoints.map(endpoint => ({
				group: cfg.name,
				name: endpoint.name,
				address: endpoint.address,
				availabilityZone: endpoint.availabilityZone,
				order: endpoint.order,
				orderedAt: endpoint.orderedAt,
				seen: true,
				reachable: true,
				leaving: false,
				running: 0,
				work: [],
				queued: 0,
				...states.get(endpoint.name),
			})));
		},
		async getSessions() {
			return recentSessions.getAll().map(session => ({...session, host: 'entry-1'}));
		},
		async getSession(sessionId) {
			const session = recentSessions.get(sessionId);
			return session && {...session, host: 'entry-1'};
		},
		async getHosts() {
			return [1, 2, 3].map(number => ({...createHost(number), reachable: number !== 1, configRevision: number === 1 ? undefined : store.revision}));
		},
		async promote(_group, endpoint) {
			promotions.push(endpoint);
			if (promotionFailure !== undefined) {
				return {promoted: false, reason: promotionFailure};
			}

			for (const name of states.keys()) {
				setState(name, {role: 'replica'});
			}

			setState(endpoint, {role: 'primary'});
			return {promoted: true};
		},
	};

	const setState = (endpoint: string, state: EndpointState) => {
		states.set(endpoint, {...states.get(endpoint), ...state});
	};

	const access = createOperatorAccess({
		platform, clock, random, log: createSilentLog(), bootstrapTokenHash: hashToken(BOOTSTRAP_TOKEN),
	});
	const options = {
		changes: createChangeApplier({platform, clock, random}),
		trail: createAuditTrail({platform}),
		configuration,
		fleet,
		clock,
		random,
		access,
	};
	const proxies = bench.hosts.map(explanations => createOperatorCommands({...options, explanations}));

	return {
		...bench,
		access,
		recentSessions,
		setState,
		/** Endpoints that the owners were requested to promote. */
		promotions,
		failPromotions(reason: string) {
			promotionFailure = reason;
		},
		/** Runs a command through another host whose access is not refreshed, so that `access` does not receive the change. */
		async runThroughOtherHost(command: string) {
			const otherCommands = createOperatorCommands({...options, access: {...access, refresh: async () => true}, explanations: bench.hosts[2]!});
			return clock.runUntil(otherCommands.run(command, {name: BOOTSTRAP_OPERATOR, role: 'operate'}, undefined));
		},
		/** Runs a command at the proxy with this index as the operator with this token. Resolves to undefined if no operator has it. */
		async run(proxy: number, token: string, command: string, changeId?: string): Promise<CommandAnswer | undefined> {
			const who = access.identify(token);
			if (!who) {
				return undefined;
			}

			const answer = proxies[proxy]!.run(command, who, changeId);
			return command.startsWith('why') ? answer : clock.runUntil(answer);
		},
	};
}

/** Creates a configuration that reads the groups from the store, so that changes are in force at once. */
function createStoreConfiguration(store: ObjectStore): Configuration {
	const getGroups = (): VersionedGroup[] => store.list('group', '').objects
		.map(({version, value}) => ({version, ...groupKind.parse(value).state!}))
		.filter(({deleted}) => !deleted)
		.map(({version, cfg}) => ({version, cfg}));
	const getGroup = (name: string) => getGroups().find(({cfg}) => cfg.name === name);
	return {
		getGroup,
		getGroupOrThrow: name => getGroup(name)!,
		getGroups,
		offer: () => false,
		onChange() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		loaded: true,
		getStoreSilenceMs: () => 0,
		get revision() {
			return store.revision;
		},
	};
}
