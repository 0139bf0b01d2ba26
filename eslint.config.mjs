import tseslint from 'typescript-eslint';
import jsdoc from 'eslint-plugin-jsdoc';
import { createNodeResolver, importX } from 'eslint-plugin-import-x';

const HOUSE =
  '/^(leg|claim|startup|alarm|fitness|pick|occupancy|sendOn)s?([A-Z]|$)|(Leg|Claim|Startup|Alarm|Fitness|Pick|Occupancy|SendOn)s?([A-Z]|$)/';
const said =
  'Use the terms of the field (docs/decisions.md): attempt, lease, settings, timer, health, choose, load, forward.';
const words = [
  `FunctionDeclaration > Identifier.id[name=${HOUSE}]`,
  `TSInterfaceDeclaration > Identifier.id[name=${HOUSE}]`,
  `TSTypeAliasDeclaration > Identifier.id[name=${HOUSE}]`,
  `TSPropertySignature > Identifier.key[name=${HOUSE}]`,
  `PropertyDefinition > Identifier.key[name=${HOUSE}]`,
  `MethodDefinition > Identifier.key[name=${HOUSE}]`,
  `ClassDeclaration > Identifier.id[name=${HOUSE}]`,
].map((selector) => ({ selector, message: said }));
const style = [
  { selector: 'ArrowFunctionExpression', message: 'Function declarations only.' },
  {
    selector: ':not(MethodDefinition) > FunctionExpression',
    message: 'Function declarations only.',
  },
  ...words,
];
const core = [
  ...style,
  { selector: 'ThrowStatement', message: 'No exceptions in the core: Either.' },
  {
    selector: "CallExpression[callee.object.name='Date'][callee.property.name='now']",
    message: 'Monotonic time by the clock port.',
  },
  {
    selector: 'CallExpression[callee.name=/^(setTimeout|setInterval)$/]',
    message: 'Time by the clock port.',
  },
  {
    selector: "CallExpression[callee.object.name='Math'][callee.property.name='random']",
    message: 'Randomness by the dice port.',
  },
];
const names = {
  selector:
    'Literal[value=/plumhollow-(attempt|deadline|expect|instance|weight|tenant|model|token|prompt|request|response|not-exec|cache|base)/i]',
  message: "The platform's names stand in platform/ only.",
};
const lib = core.filter((r) => !/clock port|dice port/.test(r.message ?? ''));
const tryless = [
  ...core,
  {
    selector: 'TryStatement',
    message: 'Catch only where a library is called: shared/system, shared/util.',
  },
];

function fence(...planes) {
  return {
    'no-restricted-imports': [
      'error',
      {
        patterns: [
          { group: planes.map((p) => `**/${p}/**`), message: 'Planes import only shared.' },
          { group: ['**/programs/**', '**/tools/**'], message: 'Libraries import no program.' },
          { group: ['**/platform/**'], message: 'Only programs know the platform.' },
          {
            group: [
              'node:child_process',
              'child_process',
              'node:cluster',
              'cluster',
              'node:worker_threads',
            ],
            message: 'A product process starts no other.',
          },
        ],
      },
    ],
  };
}

export default tseslint.config(
  {
    ignores: [
      'dist/',
      'target/',
      'node_modules/',
      'deploy/absent.cjs',
      'eslint.config.mjs',
      'test/approved.cjs',
    ],
  },
  ...tseslint.configs.recommendedTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    plugins: { jsdoc, 'import-x': importX },
    settings: {
      'import-x/extensions': ['.ts'],
      'import-x/parsers': { '@typescript-eslint/parser': ['.ts'] },
      'import-x/resolver-next': [createNodeResolver({ extensions: ['.ts', '.js'] })],
    },
    rules: {
      'import-x/no-cycle': 'error',
      '@typescript-eslint/method-signature-style': ['error', 'property'],
      'func-style': ['error', 'declaration'],
      'no-restricted-syntax': ['error', ...style],
      eqeqeq: 'error',
      'require-atomic-updates': ['error', { allowProperties: true }],
      'prefer-const': 'error',
      '@typescript-eslint/no-non-null-assertion': 'off',
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: true,
          contexts: [
            'TSInterfaceDeclaration',
            'TSTypeAliasDeclaration',
            'FunctionDeclaration',
            'ClassDeclaration',
          ],
        },
      ],
    },
  },
  { files: ['src/**/*.ts'], rules: { 'no-restricted-syntax': ['error', ...tryless, names] } },
  {
    files: ['src/shared/system/**/*.ts', 'src/shared/util/*.ts'],
    rules: { 'no-restricted-syntax': ['error', ...lib, names] },
  },
  {
    files: ['src/shared/settings/validators.ts'],
    rules: { 'no-restricted-syntax': ['error', ...style] },
  },
  {
    files: ['platform/**/*.ts'],
    rules: { 'no-restricted-syntax': ['error', ...tryless], ...fence('control', 'data', 'index') },
  },
  { files: ['src/shared/**'], rules: fence('control', 'data', 'index') },
  { files: ['src/control/**'], rules: fence('data', 'index') },
  { files: ['src/data/**'], rules: fence('control', 'index') },
  { files: ['src/index/**'], rules: fence('control', 'data') },
);
