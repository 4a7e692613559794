import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

export default [
  { ignores: ['node_modules', 'dist', 'target', 'bench-out', 'src/**/generated/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  ...configs.node.recommended,
  prettier,
  {
    files: ['**/*.ts'],
    rules: {
      // Modules export several related names, so that an index can re-export them by name.
      'import-x/prefer-default-export': 'off',
      // Node resolves the TypeScript sources without extensions, through tsx and esbuild.
      'import-x/extensions': ['error', 'never', { json: 'always' }],
    },
  },
  {
    files: ['test/**/*.ts', 'scripts/**/*.ts', 'src/bench/**/*.ts'],
    rules: { 'import-x/no-extraneous-dependencies': 'off' },
  },
];
