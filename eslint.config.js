import {readFileSync} from 'node:fs';
import gts from 'gts';

const verbs = readFileSync(new URL('docs/verbs.md', import.meta.url), 'utf8')
  .split('\n')
  .filter(line => line.startsWith('| ') && !line.startsWith('| verb'))
  .flatMap(line => line.split('|')[1].split(','))
  .map(verb => verb.trim());

const verbName = new RegExp(`^(${verbs.join('|')})(?![a-z])`);

const functionVerb = {
  meta: {
    type: 'suggestion',
    schema: [],
    messages: {
      verb: 'Function "{{name}}" does not begin with a verb from docs/verbs.md.',
    },
  },
  create(context) {
    const report = (node, name) => {
      if (!verbName.test(name)) {
        context.report({node, messageId: 'verb', data: {name}});
      }
    };
    return {
      FunctionDeclaration(node) {
        if (node.id) report(node.id, node.id.name);
      },
      MethodDefinition(node) {
        if (node.kind === 'method' && node.key.type === 'Identifier') {
          report(node.key, node.key.name);
        }
      },
      VariableDeclarator(node) {
        const init = node.init?.type;
        if (init === 'ArrowFunctionExpression' || init === 'FunctionExpression') {
          if (node.id.type === 'Identifier') report(node.id, node.id.name);
        }
      },
    };
  },
};

export default [
  {ignores: ['dist/', 'node_modules/', 'bin/', 'eslint.config.js', 'ava.config.js', 'dist-broken/', 'target/']},
  ...gts,
  {
    files: ['src/**/*.ts', 'platform/**/*.ts', 'test/**/*.ts'],
    plugins: {house: {rules: {verb: functionVerb}}},
    rules: {
      'house/verb': 'error',
      'max-lines': ['error', {max: 400}],
      'n/no-unpublished-import': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      'n/no-process-exit': 'off',
    },
  },
];
