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
			// The code style uses the customary short names.
			'unicorn/prevent-abbreviations': ['error', {allowList}],
			'unicorn/catch-error-name': ['error', {name: 'err'}],
			// Functions take the current time as an argument; only the clock reads it.
			'no-restricted-syntax': [
				'error',
				{selector: 'CallExpression[callee.object.name="Date"][callee.property.name="now"]', message: 'Take the present time as an argument.'},
				{selector: 'CallExpression[callee.object.name="Math"][callee.property.name="random"]', message: 'Take chance from the random service.'},
			],
			// The code style gives a constant object and its type the same name; the compiler checks redeclaration.
			'@typescript-eslint/no-redeclare': 'off',
			'no-redeclare': 'off',
			// This rule does not recognize the types of modern-errors as errors.
			'@typescript-eslint/only-throw-error': 'off',
			// The names of services and peer calls are added to empty interfaces by declaration merging.
			'@typescript-eslint/no-empty-interface': 'off',
			'@typescript-eslint/no-empty-object-type': 'off',
			'@typescript-eslint/consistent-type-definitions': 'off',
			'@typescript-eslint/member-ordering': 'off',
			// Promise races and background work need the promise itself.
			'promise/prefer-await-to-then': 'off',
			'promise/prefer-catch': 'off',
			// Other tasks change flags while a loop awaits.
			'no-unmodified-loop-condition': 'off',
			// Loops over servers await one step at a time on purpose.
			'no-await-in-loop': 'off',
			// The error classes of each layer are constants created by modern-errors.
			'@typescript-eslint/naming-convention': 'off',
			// A file has one public class or concept, but may also hold small classes that belong to it.
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
		// The map of peer calls is merged from declarations in many folders, and this rule sees only some of them.
		files: ['src/peers/create-peers.ts', 'src/peers/peer-handlers.ts', 'tests/configuration/configuration-fleet.ts'],
		rules: {'@typescript-eslint/no-unnecessary-type-assertion': 'off'},
	},
	{
		files: ['src/time/system-clock.ts', 'src/random/system-random.ts'],
		rules: {'no-restricted-syntax': 'off'},
	},
];

export default config;
