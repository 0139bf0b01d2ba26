import tseslint from 'typescript-eslint';
import jsdoc from 'eslint-plugin-jsdoc';

const TRADE = '/^(attempt|lease|route(?!r)|connection|setting|answer|forward|admit|timer|health|choose|load)|(Attempt|Lease|Route(?!r)|Connection|Setting|Answer|Forward|Admit|Timer|Health|Choose|Load)s?([A-Z]|$)/';
const said = 'Use the word list of docs/decisions.md: leg, claim, rule, stream, startup, return, send on, allow, alarm, fitness, pick, occupancy.';
const words = [
  `FunctionDeclaration > Identifier.id[name=${TRADE}]`,
  `TSInterfaceDeclaration > Identifier.id[name=${TRADE}]`,
  `TSTypeAliasDeclaration > Identifier.id[name=${TRADE}]`,
  `TSPropertySignature > Identifier.key[name=${TRADE}]`,
  `PropertyDefinition > Identifier.key[name=${TRADE}]`,
  `MethodDefinition > Identifier.key[name=${TRADE}]`,
  `ClassDeclaration > Identifier.id[name=${TRADE}]`,
].map((selector) => ({ selector, message: said }));
const style = [
  { selector: 'ArrowFunctionExpression', message: 'Function declarations only.' },
  { selector: ':not(MethodDefinition) > FunctionExpression', message: 'Function declarations only.' },
  { selector: 'ClassDeclaration:not(:has(Decorator))', message: 'A class only where decorators need one.' },
  ...words,
];
const core = [
  ...style,
  { selector: 'ThrowStatement', message: 'No exceptions in the core: Either.' },
  { selector: "CallExpression[callee.object.name='Date'][callee.property.name='now']", message: 'Monotonic time by the clock port.' },
  { selector: "CallExpression[callee.name=/^(setTimeout|setInterval)$/]", message: 'Time by the clock port.' },
  { selector: "CallExpression[callee.object.name='Math'][callee.property.name='random']", message: 'Randomness by the dice port.' },
];
const lib = core.filter((r) => !/clock port|dice port/.test(r.message ?? ''));
const tryless = [...core, { selector: 'TryStatement', message: 'Catch only where a library is called: shared/real*, shared/lib.' }];

function fence(...planes) {
  return { 'no-restricted-imports': ['error', { patterns: [
    { group: planes.map((p) => `**/${p}/**`), message: 'Planes import only shared.' },
    { group: ['**/programs/**', '**/tools/**'], message: 'Libraries import no program.' },
    { group: ['node:child_process', 'child_process', 'node:cluster', 'cluster', 'node:worker_threads'], message: 'A product process starts no other.' },
  ] }] };
}

export default tseslint.config(
  { ignores: ['dist/', 'node_modules/', 'eslint.config.mjs', 'test/approved.cjs'] },
  ...tseslint.configs.recommended,
  {
    plugins: { jsdoc },
    rules: {
      'max-lines': ['error', 400],
      'func-style': ['error', 'declaration'],
      'no-restricted-syntax': ['error', ...style],
      eqeqeq: 'error', 'prefer-const': 'error',
      '@typescript-eslint/no-non-null-assertion': 'off',
      'jsdoc/require-jsdoc': ['error', { publicOnly: true, contexts: ['TSInterfaceDeclaration', 'TSTypeAliasDeclaration', 'FunctionDeclaration', 'ClassDeclaration'] }],
    },
  },
  { files: ['src/**/*.ts'], rules: { 'no-restricted-syntax': ['error', ...tryless] } },
  { files: ['src/shared/real*.ts', 'src/shared/lib.ts'], rules: { 'no-restricted-syntax': ['error', ...lib] } },
  { files: ['src/shared/formats.ts'], rules: { 'no-restricted-syntax': ['error', ...style] } },
  { files: ['src/shared/**'], rules: fence('control', 'data', 'index') },
  { files: ['src/control/**'], rules: fence('data', 'index') },
  { files: ['src/data/**'], rules: fence('control', 'index') },
  { files: ['src/index/**'], rules: fence('control', 'data') },
);
