/**
 * Esbuild plugin that loads some of Node's modules when they are first used instead of when the
 * program starts. Libraries import them for features that the program uses late or not at all, and
 * loading all of them takes about as long as loading the program itself.
 */
import { createRequire } from 'node:module';
import type { Plugin } from 'esbuild';

const LAZY_BUILTINS: readonly string[] = [
  'assert',
  'crypto',
  'fs/promises',
  'https',
  'v8',
  'worker_threads',
  'zlib',
];
const FILTER = new RegExp(`^(node:)?(${LAZY_BUILTINS.join('|')})$`);
const NAMESPACE = 'lazy-builtin';

const requireBuiltin = createRequire(__filename);

/** Classes are not wrapped, as they may be extended. */
const FUNCTION_NAME = /^[a-z]/;

/** Module text that loads the module at the first call of a function or read of another export. */
function lazyModule(name: string): string {
  const exported = requireBuiltin(`node:${name}`) as Record<string, unknown>;
  const isFunction = (key: string) =>
    FUNCTION_NAME.test(key) && typeof exported[key] === 'function';
  const names = Object.keys(exported);
  const target = typeof exported === 'function' ? '(...args) => load()(...args)' : '{}';
  return [
    `let loaded;`,
    `const load = () => (loaded ??= require('node:${name}'));`,
    `module.exports = ${target};`,
    `for (const key of ${JSON.stringify(names.filter(isFunction))}) {`,
    `  module.exports[key] = (...args) => load()[key](...args);`,
    `}`,
    `for (const key of ${JSON.stringify(names.filter((key) => !isFunction(key)))}) {`,
    `  Object.defineProperty(module.exports, key, { enumerable: true, get: () => load()[key] });`,
    `}`,
  ].join('\n');
}

/** The plugin. */
export const lazyBuiltins: Plugin = {
  name: NAMESPACE,
  setup(build) {
    build.onResolve({ filter: FILTER }, ({ path, namespace }) =>
      namespace === NAMESPACE
        ? { path, external: true }
        : { path: path.replace(/^node:/, ''), namespace: NAMESPACE },
    );
    build.onLoad({ filter: /.*/, namespace: NAMESPACE }, ({ path }) => ({
      contents: lazyModule(path),
      loader: 'js',
    }));
  },
};
