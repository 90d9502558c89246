import {expect} from 'chai';
import {getHelp} from '../../src/language/help.js';
import {formatSyntaxError, parseCommand} from '../../src/language/parse-command.js';

const REQUEST = '019b8c8e-8a00-7000-8000-00000000002a';
const HASH = 'ab'.repeat(32);

describe('command language', () => {
	describe('parses', () => {
		const doTest = (text: string, expected: unknown) => {
			it(text, () => {
				const parsed = parseCommand(text);
				expect(parsed.ok ? parsed.command : formatSyntaxError(text, parsed.syntaxError)).to.deep.equal(expected);
			});
		};

		doTest('help', {kind: 'help', topic: undefined});
		doTest('help set group', {kind: 'help', topic: 'set group'});
		doTest(`why ${REQUEST.toUpperCase()}`, {kind: 'why', subject: {requestId: REQUEST}});
		doTest('why t1.AbC-_.xyz', {kind: 'why', subject: {ticket: 't1.AbC-_.xyz'}});
		doTest('show sessions', {kind: 'show-sessions'});
		doTest('show session 5f0c', {kind: 'show-session', sessionId: '5f0c'});
		doTest('show endpoints', {kind: 'show-endpoints', group: undefined});
		doTest('SHOW  Endpoints OF group nights ', {kind: 'show-endpoints', group: 'nights'});
		doTest('show groups', {kind: 'show-groups'});
		doTest('show hosts', {kind: 'show-hosts'});
		doTest('show operators', {kind: 'show-operators'});
		doTest('show config of group nights', {kind: 'show-config', group: 'nights'});
		doTest('show changes', {kind: 'show-changes', subject: undefined, last: 20});
		doTest('show changes of operators last 5', {kind: 'show-changes', subject: 'operators', last: 5});
		doTest('create group n with endpoint a at 10.0.0.1:5432 in Lozenets connections 35 slots 2, endpoint b at [::1]:1 in 5 connections 1 slots 1', {
			kind: 'create-group',
			group: 'n',
			endpoints: [
				{
					name: 'a', address: '10.0.0.1:5432', availabilityZone: 'Lozenets', connections: 35, slots: 2,
				},
				{
					name: 'b', address: '[::1]:1', availabilityZone: '5', connections: 1, slots: 1,
				},
			],
		});
		doTest('delete group nights', {kind: 'delete-group', group: 'nights'});
		doTest('set group nights read-age 5s', {kind: 'set-read-age', group: 'nights', readAgeLimitMs: 5000});
		doTest('set group nights durability primary', {kind: 'set-durability', group: 'nights', durability: 'primary'});
		doTest('set group nights shares deadline 50% background 5%', {kind: 'set-shares', group: 'nights', shares: {deadline: 0.5, background: 0.05}});
		doTest('set group nights owners 3', {kind: 'set-owners', group: 'nights', owners: 3});
		doTest('set group nights key-retention 2d', {kind: 'set-key-retention', group: 'nights', keyRetentionMs: 172_800_000});
		doTest('resume endpoint a', {
			kind: 'order-endpoint', endpoint: 'a', group: undefined, order: 'serve',
		});
		// A name may look like a keyword.
		doTest('drain endpoint group of group show', {
			kind: 'order-endpoint', endpoint: 'group', group: 'show', order: 'drain',
		});
		doTest('stop endpoint stopgap', {
			kind: 'order-endpoint', endpoint: 'stopgap', group: undefined, order: 'stop',
		});
		doTest('promote endpoint b of group n', {kind: 'promote-endpoint', endpoint: 'b', group: 'n'});
		doTest(`create operator dana role view token-hash ${HASH}`, {
			kind: 'create-operator', operator: 'dana', role: 'view', tokenHash: HASH,
		});
		doTest('delete operator dana', {kind: 'delete-operator', operator: 'dana'});
	});

	describe('reports the position of the syntax error in', () => {
		const doTest = (text: string, column: number, expected: string, found: string) => {
			it(text === '' ? 'an empty command' : text, () => {
				const parsed = parseCommand(text);
				expect(parsed).to.deep.equal({ok: false, syntaxError: {column, expected, found}});
			});
		};

		const verbs = '"help", "why", "show", "create", "delete", "set", "drain", "stop", "resume" or "promote"';
		const name = '1 to 63 of a-z, 0-9 and "-", beginning with a letter';
		doTest('', 1, verbs, '');
		doTest('frob', 1, verbs, 'frob');
		doTest('why', 4, 'a request id or a ticket', '');
		doTest('why not', 5, 'a request id or a ticket', 'not');
		doTest('show endpoints in', 16, '"of" or the end of the command', 'in');
		doTest('show endpoints of nights', 19, '"group"', 'nights');
		doTest('show groups x', 13, 'the end of the command', 'x');
		doTest('show changes last 0', 19, 'a number from 1 to 1000', '0');
		doTest('show\tchanges\nlast 0', 19, 'a number from 1 to 1000', '0');
		doTest('set group nights read-age five', 27, 'a duration such as 500ms, 5s, 2m or 24h', 'five');
		doTest('set group nights read-age 25h', 27, 'a duration from 0s to 24h', '25h');
		doTest('set group Nights read-age 5s', 11, name, 'Nights');
		doTest('set group nights', 17, '"read-age", "durability", "shares", "owners" or "key-retention"', '');
		doTest('set group nights shares deadline 150%', 34, 'a share from 0% to 100%', '150%');
		doTest('set group nights shares deadline 50% often', 38, '"deadline", "interactive", "background" or the end of the command', 'often');
		doTest('set group nights owners 10', 25, 'a number from 1 to 9', '10');
		doTest('create group n with endpoint a at here', 35, 'an address such as 10.0.0.1:5432', 'here');
		doTest('create group n with endpoint a at 1.2.3.4:5 in z connections 0 slots 1', 62, 'a number from 1 to 10000', '0');
		doTest('create group n with endpoint a at 1.2.3.4:5 in z connections 1 slots 1,', 72, '"endpoint"', '');
		doTest('create operator dana role king', 27, '"view" or "operate"', 'king');
		doTest('create operator dana role view token-hash abc', 43, 'a SHA-256 hash of 64 hex digits', 'abc');
		doTest('drain nights-a', 7, '"endpoint"', 'nights-a');
	});

	it('marks the column of a syntax error', () => {
		const text = 'set group nights read-age five';
		const parsed = parseCommand(text);
		expect(parsed.ok ? '' : formatSyntaxError(text, parsed.syntaxError)).to.equal([
			'set group nights read-age five',
			'                          ^',
			'column 27: expected a duration such as 500ms, 5s, 2m or 24h, found "five"',
		].join('\n'));
	});

	describe('has an example that parses for', () => {
		for (const entry of getHelp()) {
			it(entry.syntax, () => {
				expect(parseCommand(entry.example)).to.have.property('ok', true);
			});
		}
	});
});
