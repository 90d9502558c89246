/* eslint-disable new-cap -- the names of the grammar's calls are the library's */
import {EmbeddedActionsParser} from 'chevrotain';
import {
	Durability, EndpointOrder, endpointConfigSchema, groupConfigSchema, type WorkClass,
} from '../groups/group-config.js';
import {OperatorRole} from '../operators/operator-access.js';
import {
	CommandKind, type Command, type NewEndpoint, type WhySubject,
} from './command.js';
import {
	getCount, getDuration, getLast, getName, getShare,
} from './token-values.js';
import * as t from './tokens.js';

/** Number of changes shown where the command contains no number. */
export const DEFAULT_LAST_CHANGES = 20;

/** The grammar of the command language; each rule corresponds to the syntax line in `help`. */
class CommandParser extends EmbeddedActionsParser {
	constructor() {
		super(t.tokens, {recoveryEnabled: false, maxLookahead: 2});
		this.performSelfAnalysis();
	}

	/** The start rule. */
	public command = this.RULE('command', (): Command => this.OR([
		{ALT: () => this.SUBRULE(this.help)},
		{ALT: () => this.SUBRULE(this.why)},
		{ALT: () => this.SUBRULE(this.show)},
		{ALT: () => this.SUBRULE(this.create)},
		{ALT: () => this.SUBRULE(this.delete)},
		{ALT: () => this.SUBRULE(this.set)},
		{ALT: () => this.SUBRULE(this.order)},
		{ALT: () => this.SUBRULE(this.promote)},
	]));

	private readonly help = this.RULE('help', (): Command => {
		const words: string[] = [];
		this.CONSUME(t.Help);
		this.MANY(() => {
			words.push(this.CONSUME(t.Topic).image);
		});
		return {kind: CommandKind.Help, topic: words.length > 0 ? words.join(' ') : undefined};
	});

	private readonly why = this.RULE('why', (): Command => {
		this.CONSUME(t.Why);
		const subject = this.OR<WhySubject>([
			{ALT: () => ({requestId: this.CONSUME(t.RequestId).image.toLowerCase()})},
			{ALT: () => ({ticket: this.CONSUME(t.Ticket).image})},
		]);
		return {kind: CommandKind.Why, subject};
	});

	private readonly show = this.RULE('show', (): Command => {
		this.CONSUME(t.Show);
		return this.OR<Command>([
			{ALT: () => this.consumeAs(() => this.CONSUME(t.Sessions), {kind: CommandKind.ShowSessions})},
			{ALT: () => this.SUBRULE(this.showSession)},
			{ALT: () => this.SUBRULE(this.showEndpoints)},
			{ALT: () => this.consumeAs(() => this.CONSUME(t.Groups), {kind: CommandKind.ShowGroups})},
			{ALT: () => this.consumeAs(() => this.CONSUME(t.Hosts), {kind: CommandKind.ShowHosts})},
			{ALT: () => this.SUBRULE(this.showConfig)},
			{ALT: () => this.SUBRULE(this.showChanges)},
			{ALT: () => this.consumeAs(() => this.CONSUME(t.Operators), {kind: CommandKind.ShowOperators})},
		]);
	});

	private readonly showSession = this.RULE('showSession', (): Command => {
		this.CONSUME(t.Session);
		return {kind: CommandKind.ShowSession, sessionId: this.CONSUME(t.SessionId).image};
	});

	private readonly showEndpoints = this.RULE('showEndpoints', (): Command => {
		this.CONSUME(t.Endpoints);
		return {kind: CommandKind.ShowEndpoints, group: this.OPTION(() => this.SUBRULE(this.ofGroup))};
	});

	private readonly showConfig = this.RULE('showConfig', (): Command => {
		this.CONSUME(t.Config);
		return {kind: CommandKind.ShowConfig, group: this.OPTION(() => this.SUBRULE(this.ofGroup))};
	});

	private readonly showChanges = this.RULE('showChanges', (): Command => {
		this.CONSUME(t.Changes);
		const subject = this.OPTION1(() => {
			this.CONSUME(t.Of);
			return this.SUBRULE(this.groupName);
		});
		const last = this.OPTION2(() => {
			this.CONSUME(t.Last);
			const count = this.CONSUME(t.Count);
			return this.ACTION(() => getLast(count));
		});
		return {kind: CommandKind.ShowChanges, subject, last: last ?? DEFAULT_LAST_CHANGES};
	});

	private readonly create = this.RULE('create', (): Command => {
		this.CONSUME(t.Create);
		return this.OR<Command>([
			{ALT: () => this.SUBRULE(this.createGroup)},
			{ALT: () => this.SUBRULE(this.createOperator)},
		]);
	});

	private readonly createGroup = this.RULE('createGroup', (): Command => {
		const endpoints: NewEndpoint[] = [];
		this.CONSUME(t.Group);
		const group = this.SUBRULE(this.groupName);
		this.CONSUME(t.With);
		this.AT_LEAST_ONE_SEP({
			SEP: t.Comma,
			DEF: () => {
				endpoints.push(this.SUBRULE(this.newEndpoint));
			},
		});
		return {kind: CommandKind.CreateGroup, group, endpoints};
	});

	private readonly newEndpoint = this.RULE('newEndpoint', (): NewEndpoint => {
		this.CONSUME(t.Endpoint);
		const name = this.SUBRULE(this.endpointName);
		this.CONSUME(t.At);
		const address = this.CONSUME(t.Address).image;
		this.CONSUME(t.In);
		const availabilityZone = this.CONSUME(t.ZoneName).image;
		this.CONSUME(t.Connections);
		const connections = this.CONSUME1(t.Count);
		this.CONSUME(t.Slots);
		const slots = this.CONSUME2(t.Count);
		return this.ACTION(() => ({
			name,
			address,
			availabilityZone,
			connections: getCount(connections, endpointConfigSchema.shape.connections, 'a number from 1 to 10000'),
			slots: getCount(slots, endpointConfigSchema.shape.slots, 'a number from 1 to 1000'),
		}));
	});

	private readonly createOperator = this.RULE('createOperator', (): Command => {
		this.CONSUME(t.Operator);
		const operator = this.SUBRULE(this.operatorName);
		this.CONSUME(t.Role);
		const role = this.OR<OperatorRole>([
			{ALT: () => this.consumeAs(() => this.CONSUME(t.View), OperatorRole.View)},
			{ALT: () => this.consumeAs(() => this.CONSUME(t.Operate), OperatorRole.Operate)},
		]);
		this.CONSUME(t.Hash);
		const tokenHash = this.CONSUME(t.TokenHash).image.toLowerCase();
		return {
			kind: CommandKind.CreateOperator, operator, role, tokenHash,
		};
	});

	private readonly delete = this.RULE('delete', (): Command => {
		this.CONSUME(t.Delete);
		return this.OR<Command>([
			{
				ALT: () => {
					this.CONSUME(t.Group);
					return {kind: CommandKind.DeleteGroup, group: this.SUBRULE(this.groupName)};
				},
			},
			{
				ALT: () => {
					this.CONSUME(t.Operator);
					return {kind: CommandKind.DeleteOperator, operator: this.SUBRULE(this.operatorName)};
				},
			},
		]);
	});

	private readonly set = this.RULE('set', (): Command => {
		this.CONSUME(t.SetVerb);
		this.CONSUME(t.Group);
		const group = this.SUBRULE(this.groupName);
		return this.OR<Command>([
			{ALT: () => ({kind: CommandKind.SetReadAge, group, readAgeLimitMs: this.SUBRULE(this.readAge)})},
			{ALT: () => ({kind: CommandKind.SetDurability, group, durability: this.SUBRULE(this.durability)})},
			{ALT: () => ({kind: CommandKind.SetShares, group, shares: this.SUBRULE(this.shares)})},
			{ALT: () => ({kind: CommandKind.SetOwners, group, owners: this.SUBRULE(this.owners)})},
			{ALT: () => ({kind: CommandKind.SetKeyRetention, group, keyRetentionMs: this.SUBRULE(this.keyRetention)})},
		]);
	});

	private readonly readAge = this.RULE('readAge', (): number => {
		this.CONSUME(t.ReadAge);
		const duration = this.CONSUME(t.Duration);
		return this.ACTION(() => getDuration(duration, groupConfigSchema.shape.readAgeLimitMs, 'a duration from 0s to 24h'));
	});

	private readonly durability = this.RULE('durability', (): Durability => {
		this.CONSUME(t.Durable);
		return this.OR<Durability>([
			{ALT: () => this.consumeAs(() => this.CONSUME(t.Majority), Durability.Majority)},
			{ALT: () => this.consumeAs(() => this.CONSUME(t.Primary), Durability.Primary)},
		]);
	});

	private readonly shares = this.RULE('shares', (): Partial<Record<WorkClass, number>> => {
		const shares: Partial<Record<WorkClass, number>> = {};
		this.CONSUME(t.Shares);
		this.AT_LEAST_ONE(() => {
			const workClass = this.OR([
				{ALT: () => this.CONSUME(t.Deadline)},
				{ALT: () => this.CONSUME(t.Interactive)},
				{ALT: () => this.CONSUME(t.Background)},
			]);
			const share = this.CONSUME(t.Percent);
			this.ACTION(() => {
				shares[workClass.image.toLowerCase() as WorkClass] = getShare(share);
			});
		});
		return shares;
	});

	private readonly owners = this.RULE('owners', (): number => {
		this.CONSUME(t.Owners);
		const count = this.CONSUME(t.Count);
		return this.ACTION(() => getCount(count, groupConfigSchema.shape.owners, 'a number from 1 to 9'));
	});

	private readonly keyRetention = this.RULE('keyRetention', (): number => {
		this.CONSUME(t.KeyRetention);
		const duration = this.CONSUME(t.Duration);
		return this.ACTION(() => getDuration(duration, groupConfigSchema.shape.keyRetentionMs, 'a duration from 1m to 30d'));
	});

	private readonly order = this.RULE('order', (): Command => {
		const order = this.OR<EndpointOrder>([
			{ALT: () => this.consumeAs(() => this.CONSUME(t.Drain), EndpointOrder.Drain)},
			{ALT: () => this.consumeAs(() => this.CONSUME(t.Stop), EndpointOrder.Stop)},
			{ALT: () => this.consumeAs(() => this.CONSUME(t.Resume), EndpointOrder.Serve)},
		]);
		return {kind: CommandKind.OrderEndpoint, ...this.SUBRULE(this.endpointOfGroup), order};
	});

	private readonly promote = this.RULE('promote', (): Command => {
		this.CONSUME(t.Promote);
		return {kind: CommandKind.PromoteEndpoint, ...this.SUBRULE(this.endpointOfGroup)};
	});

	private readonly endpointOfGroup = this.RULE('endpointOfGroup', (): {endpoint: string; group?: string} => {
		this.CONSUME(t.Endpoint);
		const endpoint = this.SUBRULE(this.endpointName);
		return {endpoint, group: this.OPTION(() => this.SUBRULE(this.ofGroup))};
	});

	private readonly ofGroup = this.RULE('ofGroup', (): string => {
		this.CONSUME(t.Of);
		this.CONSUME(t.Group);
		return this.SUBRULE(this.groupName);
	});

	private readonly groupName = this.RULE('groupName', (): string => {
		const token = this.CONSUME(t.GroupName);
		return this.ACTION(() => getName(token));
	});

	private readonly endpointName = this.RULE('endpointName', (): string => {
		const token = this.CONSUME(t.EndpointName);
		return this.ACTION(() => getName(token));
	});

	private readonly operatorName = this.RULE('operatorName', (): string => {
		const token = this.CONSUME(t.OperatorName);
		return this.ACTION(() => getName(token));
	});

	/** Consumes a keyword and returns the value that it represents. */
	private consumeAs<T>(consume: () => unknown, value: T): T {
		consume();
		return value;
	}
}

/** The shared parser. It keeps its input from call to call, which is safe because calls are synchronous and cannot interleave. */
export const commandParser = new CommandParser();
