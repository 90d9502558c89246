const customaryNames = [
	'req',
	'res',
	'cfg',
	'err',
	'db',
	'env',
	'args',
	'props',
	'fn',
	'msg',
	'ms',
	'ref',
	'dir',
	'docs',
	'i',
];

const allowList = Object.fromEntries(customaryNames.flatMap(name => [
	[name, true],
	[name[0].toUpperCase() + name.slice(1), true],
]));

/** @type {import('xo').FlatXoConfig} */
const config = [
	{
		ignores: ['dist/**', 'coverage/**', 'src/**/generated/**'],
	},
	{
		rules: {
			// The users' house style asks for the customary short names.
			'unicorn/prevent-abbreviations': ['error', {allowList}],
			'unicorn/catch-error-name': ['error', {name: 'err'}],
			// Decisions take the present time as an argument; only the clock reads it.
			'no-restricted-syntax': [
				'error',
				{selector: 'CallExpression[callee.object.name="Date"][callee.property.name="now"]', message: 'Take the present time as an argument.'},
				{selector: 'CallExpression[callee.object.name="Math"][callee.property.name="random"]', message: 'Take chance from the random service.'},
			],
			// The house style's constant objects carry their type under the same name; the compiler checks redeclaration.
			'@typescript-eslint/no-redeclare': 'off',
			'no-redeclare': 'off',
			// The types of modern-errors hide from this rule that they are errors.
			'@typescript-eslint/only-throw-error': 'off',
			// Service and peer-call names are merged into empty interfaces.
			'@typescript-eslint/no-empty-interface': 'off',
			'@typescript-eslint/no-empty-object-type': 'off',
			'@typescript-eslint/consistent-type-definitions': 'off',
			'@typescript-eslint/member-ordering': 'off',
			// Races and work in the background need the promise itself.
			'promise/prefer-await-to-then': 'off',
			'promise/prefer-catch': 'off',
			// Flags are set by other tasks while a loop awaits.
			'no-unmodified-loop-condition': 'off',
			// A statement a step: loops over servers are awaited one by one on purpose.
			'no-await-in-loop': 'off',
			// Each layer's errors are classes made by modern-errors.
			'@typescript-eslint/naming-convention': 'off',
			// One public class or concept a file, but its small companions stand beside it.
			'max-classes-per-file': 'off',
			'capitalized-comments': 'off',
			'no-bitwise': 'off',
			'max-params': ['error', {max: 5}],
			'@typescript-eslint/max-params': 'off',
		},
	},
	{
		files: ['tests/**/*.ts'],
		rules: {
			'@typescript-eslint/no-unused-expressions': 'off',
		},
	},
	{
		// The map of peer calls is merged from every domain, and the rule judges by a part of it.
		files: ['src/peers/create-peers.ts', 'src/peers/peer-handlers.ts', 'tests/configuration/configuration-fleet.ts'],
		rules: {'@typescript-eslint/no-unnecessary-type-assertion': 'off'},
	},
	{
		files: ['src/time/system-clock.ts', 'src/random/system-random.ts'],
		rules: {'no-restricted-syntax': 'off'},
	},
];

export default config;
