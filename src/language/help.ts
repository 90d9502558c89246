import {CommandKind} from './command.js';

/** The help for one command. */
export type HelpEntry = {
	/** Words in capitals are placeholders, brackets enclose optional parts. */
	readonly syntax: string;
	readonly explanation: string;
	/** A complete command; a test parses each example. */
	readonly example: string;
};

/** The help for every command; the type requires an entry for each new kind of command. */
export const helpEntries: Readonly<Record<CommandKind, readonly HelpEntry[]>> = {
	[CommandKind.Help]: [{
		syntax: 'help [COMMAND]',
		explanation: 'Lists the commands, or those that begin with COMMAND.',
		example: 'help set group',
	}],
	[CommandKind.Why]: [{
		syntax: 'why REQUEST|TICKET',
		explanation: 'Tells why a request was refused or delayed, by its id or by the ticket in its refusal.',
		example: 'why 019b8c8e-8a00-7000-8000-00000000002a',
	}],
	[CommandKind.ShowSessions]: [{
		syntax: 'show sessions',
		explanation: 'Lists the sessions seen lately.',
		example: 'show sessions',
	}],
	[CommandKind.ShowSession]: [{
		syntax: 'show session ID',
		explanation: 'Shows what is known of one session: its floors and its last request.',
		example: 'show session 5f0c2b9a',
	}],
	[CommandKind.ShowEndpoints]: [{
		syntax: 'show endpoints [of group GROUP]',
		explanation: 'Lists the endpoints: role, term, position, lag, order, and what still runs and since when.',
		example: 'show endpoints of group nights',
	}],
	[CommandKind.ShowGroups]: [{
		syntax: 'show groups',
		explanation: 'Lists the database groups with their primary and limits.',
		example: 'show groups',
	}],
	[CommandKind.ShowHosts]: [{
		syntax: 'show hosts',
		explanation: 'Lists the proxy hosts and the configuration each has in force.',
		example: 'show hosts',
	}],
	[CommandKind.ShowConfig]: [{
		syntax: 'show config [of group GROUP]',
		explanation: 'Shows the configuration in force with its versions.',
		example: 'show config of group nights',
	}],
	[CommandKind.ShowChanges]: [{
		syntax: 'show changes [of GROUP|operators] [last COUNT]',
		explanation: 'Shows the audit trail, newest first: who, when, what, from, to.',
		example: 'show changes of nights last 5',
	}],
	[CommandKind.ShowOperators]: [{
		syntax: 'show operators',
		explanation: 'Lists the operators and their roles.',
		example: 'show operators',
	}],
	[CommandKind.CreateGroup]: [{
		syntax: 'create group GROUP with endpoint NAME at IP:PORT in ZONE connections COUNT slots COUNT[, endpoint …]',
		explanation: 'Creates a database group with all its endpoints.',
		example: 'create group nights with endpoint nights-a at 10.0.0.1:5432 in hall-a connections 20 slots 3, '
			+ 'endpoint nights-b at 10.0.0.2:5432 in hall-b connections 20 slots 3',
	}],
	[CommandKind.DeleteGroup]: [{
		syntax: 'delete group GROUP',
		explanation: 'Deletes a group: its requests are refused from then on, and its servers are left as they are.',
		example: 'delete group nights',
	}],
	[CommandKind.SetReadAge]: [{
		syntax: 'set group GROUP read-age DURATION',
		explanation: 'Sets the oldest data a read of the group may accept.',
		example: 'set group nights read-age 5s',
	}],
	[CommandKind.SetDurability]: [{
		syntax: 'set group GROUP durability majority|primary',
		explanation: 'Sets when a write is acknowledged: held by a majority, or by the primary alone.',
		example: 'set group nights durability majority',
	}],
	[CommandKind.SetShares]: [{
		syntax: 'set group GROUP shares deadline|interactive|background PERCENT …',
		explanation: 'Sets the share of each endpoint that no other class can take; classes not named keep theirs.',
		example: 'set group nights shares deadline 50% interactive 30%',
	}],
	[CommandKind.SetOwners]: [{
		syntax: 'set group GROUP owners COUNT',
		explanation: 'Sets how many hosts look after the group.',
		example: 'set group nights owners 3',
	}],
	[CommandKind.SetKeyRetention]: [{
		syntax: 'set group GROUP key-retention DURATION',
		explanation: 'Sets how long the group remembers which requests ran.',
		example: 'set group nights key-retention 48h',
	}],
	[CommandKind.OrderEndpoint]: [
		{
			syntax: 'drain endpoint ENDPOINT [of group GROUP]',
			explanation: 'Gives the endpoint no new work; what runs may end, and a primary hands its role on.',
			example: 'drain endpoint nights-a',
		},
		{
			syntax: 'stop endpoint ENDPOINT [of group GROUP]',
			explanation: 'Drains the endpoint, then no longer uses or watches it.',
			example: 'stop endpoint nights-a of group nights',
		},
		{
			syntax: 'resume endpoint ENDPOINT [of group GROUP]',
			explanation: 'Gives a drained or stopped endpoint work again.',
			example: 'resume endpoint nights-a',
		},
	],
	[CommandKind.PromoteEndpoint]: [{
		syntax: 'promote endpoint ENDPOINT [of group GROUP]',
		explanation: 'Hands the primary\'s role to the endpoint without losing a request.',
		example: 'promote endpoint nights-b',
	}],
	[CommandKind.CreateOperator]: [{
		syntax: 'create operator NAME role view|operate token-hash SHA256',
		explanation: 'Lets an operator in; only the hash of the token is given and kept.',
		example: 'create operator dana role view token-hash 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08',
	}],
	[CommandKind.DeleteOperator]: [{
		syntax: 'delete operator NAME',
		explanation: 'Lets an operator in no longer.',
		example: 'delete operator dana',
	}],
};

/** Returns the entries whose command begins with the topic, or all entries without one. */
export function getHelp(topic = ''): readonly HelpEntry[] {
	const wanted = topic.toLowerCase();
	return Object.values(helpEntries).flat().filter(entry => entry.syntax.startsWith(wanted));
}

/** Formats entries, each with its syntax, explanation and example on separate lines. */
export function formatHelp(entries: readonly HelpEntry[]): string {
	return entries
		.map(entry => `${entry.syntax}\n    ${entry.explanation}\n    Example: ${entry.example}`)
		.join('\n');
}
