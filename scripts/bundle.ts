/** Bundles an entry point and its libraries into one CommonJS file. */
import { join, resolve } from 'node:path';
import { build } from 'esbuild';
import { lazyBuiltins } from './lazyBuiltins';

/** Root of the repository. */
export const ROOT = resolve(__dirname, '..');

/** Writes the bundle of `entry` to `outfile`; a minified one loads faster. */
export async function bundle(entry: string, outfile: string, minify = false): Promise<void> {
  await build({
    entryPoints: [entry],
    outfile,
    absWorkingDir: ROOT,
    nodePaths: [join(ROOT, 'node_modules')],
    bundle: true,
    platform: 'node',
    format: 'cjs',
    target: 'node20',
    mainFields: ['module', 'main'],
    legalComments: 'eof',
    plugins: [lazyBuiltins],
    logLevel: 'warning',
    minify,
    keepNames: minify,
  });
}
