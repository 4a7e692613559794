/**
 * Loads a bundled program with the bytecode that V8 produced for it when it was built. A host that
 * has just started then compiles nothing, which on a small host delays its first jobs. Bytecode of
 * another text, V8 version or set of V8 flags is not used; the program is compiled instead.
 */
/* eslint-disable n/no-sync -- the process has nothing else to do until the program is loaded */
import { appendFileSync, readFileSync, writeFileSync } from 'node:fs';
import { setFlagsFromString } from 'node:v8';
import { Script } from 'node:vm';

/** How a program was loaded. */
export const CodeCacheState = {
  used: 'used',
  missing: 'missing',
  /** Written for another text of the program. */
  stale: 'stale',
  /** Written by another V8 version or with other V8 flags. */
  rejected: 'rejected',
} as const;
export type CodeCacheState = (typeof CodeCacheState)[keyof typeof CodeCacheState];

/** Wrapper function of a CommonJS module. */
export type ModuleFunction = (
  exports: object,
  require: NodeJS.Require,
  module: { exports: object },
  filename: string,
  dirname: string,
) => void;

/** A program that is ready to be run. */
export interface LoadedProgram {
  readonly run: ModuleFunction;
  readonly cache: CodeCacheState;
}

/** Length of the stamp, the end of the program's text and the beginning of its cache. */
const STAMP_LENGTH = 40;
const HEX_RADIX = 16;
const MODULE_START = '(function (exports, require, module, __filename, __dirname) { ';
const MODULE_END = '\n});';

function readModule(programPath: string): string {
  const text = readFileSync(programPath, 'utf8');
  return MODULE_START + text + MODULE_END;
}

/**
 * A text that differs for each build. V8 itself compares only the length of the program with that
 * for which the cache was written.
 */
function newStamp(): string {
  const id = Date.now().toString(HEX_RADIX) + Math.random().toString(HEX_RADIX).slice(2);
  return `\n// build ${id}`.padEnd(STAMP_LENGTH, '-').slice(0, STAMP_LENGTH);
}

function readCache(cachePath: string): Buffer | null {
  try {
    return readFileSync(cachePath);
  } catch {
    return null;
  }
}

/**
 * Compiles all functions of a program and writes their bytecode, after marking the program with a
 * new stamp. It must run with the V8 flags of the processes that use the cache.
 */
export function writeCodeCache(programPath: string, cachePath: string): void {
  const stamp = newStamp();
  appendFileSync(programPath, stamp);
  const text = readModule(programPath);
  setFlagsFromString('--no-lazy');
  const script = new Script(text, { filename: programPath });
  // The cache records the flags, which must be the usual ones again.
  setFlagsFromString('--lazy');
  writeFileSync(
    cachePath,
    Buffer.concat([Buffer.from(stamp, 'latin1'), script.createCachedData()]),
  );
}

/** Loads a program, from its code cache if that can be used. */
export function loadProgram(programPath: string, cachePath: string): LoadedProgram {
  const text = readModule(programPath);
  const cache = readCache(cachePath);
  const stamp = cache?.toString('latin1', 0, STAMP_LENGTH);
  const isStale = stamp !== undefined && !text.endsWith(stamp + MODULE_END);
  const cachedData = cache === null || isStale ? undefined : cache.subarray(STAMP_LENGTH);
  const script = new Script(text, { filename: programPath, cachedData });
  const run = script.runInThisContext() as ModuleFunction;
  if (cache === null) return { run, cache: CodeCacheState.missing };
  if (isStale) return { run, cache: CodeCacheState.stale };
  const { used, rejected } = CodeCacheState;
  return { run, cache: script.cachedDataRejected ? rejected : used };
}
