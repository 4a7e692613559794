/**
 * Starts the program beside this file from its code cache. With `--write-code-cache` it writes the
 * cache instead; the build does that with the V8 flags of the deployment.
 */
import { writeSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { CodeCacheState, loadProgram, writeCodeCache } from './codeCache';

const PROGRAM = 'dispatcher.program.cjs';
const CACHE = 'dispatcher.program.cache';
const WRITE_OPTION = '--write-code-cache';
const STDERR_FD = 2;

function start(programPath: string, cachePath: string): void {
  const { run, cache } = loadProgram(programPath, cachePath);
  if (cache !== CodeCacheState.used) {
    const line = { level: 'warn', timeMs: Date.now(), decision: 'code-cache', state: cache };
    // eslint-disable-next-line n/no-sync -- once, before the program is loaded
    writeSync(STDERR_FD, `${JSON.stringify(line)}\n`);
  }
  const loaded = { exports: {} };
  run(loaded.exports, require, loaded, programPath, dirname(programPath));
}

function main(): void {
  const programPath = join(__dirname, PROGRAM);
  const cachePath = join(__dirname, CACHE);
  if (process.argv.includes(WRITE_OPTION)) writeCodeCache(programPath, cachePath);
  else start(programPath, cachePath);
}

main();
