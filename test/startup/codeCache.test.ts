/** Start of the program from its code cache, and modules that are loaded late. */
import { execFile } from 'node:child_process';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { promisify } from 'node:util';
import { expect } from 'earl';
import { bundle, ROOT } from '../../scripts/bundle';
import { CodeCacheState, loadProgram, writeCodeCache } from '../../src/startup/codeCache';

const runNode = (options: readonly string[]) => promisify(execFile)(process.execPath, [...options]);

function exportsOf(programPath: string, cachePath: string): [object, CodeCacheState] {
  const { run, cache } = loadProgram(programPath, cachePath);
  const loaded = { exports: {} };
  run(loaded.exports, require, loaded, programPath, '');
  return [loaded.exports, cache];
}

describe('the code cache of a program', () => {
  let folder = '';
  let program = '';
  let cache = '';

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'code-cache-'));
    program = join(folder, 'dispatcher.program.cjs');
    cache = join(folder, 'dispatcher.program.cache');
    await writeFile(program, 'module.exports.answer = (() => 1)();');
  });

  afterEach(() => rm(folder, { recursive: true }));

  it('is used for the program for which it was written', () => {
    writeCodeCache(program, cache);
    expect(exportsOf(program, cache)).toEqual([{ answer: 1 }, CodeCacheState.used]);
  });

  // Guards against a host that does not start because the build left no cache.
  it('is not needed', () => {
    expect(exportsOf(program, cache)).toEqual([{ answer: 1 }, CodeCacheState.missing]);
  });

  // Guards against running the bytecode of an earlier build: V8 compares only lengths.
  it('is not used for another program of the same length', async () => {
    writeCodeCache(program, cache);
    const stale = await readFile(cache);
    await writeFile(program, 'module.exports.answer = (() => 2)();');
    writeCodeCache(program, cache);
    await writeFile(cache, stale);
    expect(exportsOf(program, cache)).toEqual([{ answer: 2 }, CodeCacheState.stale]);
  });

  describe('in the launcher', () => {
    let launcher = '';

    const run = async (flags: readonly string[]) => {
      const { stdout, stderr } = await runNode([...flags, launcher]);
      expect(stdout).toEqual('runs');
      return /"decision":"code-cache","state":"(\w+)"/.exec(stderr)?.[1] ?? CodeCacheState.used;
    };

    beforeEach(async () => {
      launcher = join(folder, 'dispatcher.cjs');
      await writeFile(program, 'process.stdout.write("runs");');
      await bundle(join(ROOT, 'src/startup/launcher.ts'), launcher, true);
      await runNode([launcher, '--write-code-cache']);
    });

    // Guards against a change of the deployed V8 flags that silently disables the cache.
    it('is logged as rejected under other V8 flags', async () => {
      expect(await run([])).toEqual(CodeCacheState.used);
      expect(await run(['--max-semi-space-size=4'])).toEqual(CodeCacheState.rejected);
    });

    // Guards against a host that does not start with a damaged cache.
    it('is logged as rejected when it is cut short', async () => {
      await writeFile(cache, (await readFile(cache)).subarray(0, 200));
      expect(await run([])).toEqual(CodeCacheState.rejected);
    });
  });
});

describe('modules of Node that are loaded late', () => {
  // Guards against a slow start through modules that the program does not need for it.
  it('are loaded at their first use, and behave as usual', async () => {
    const folder = await mkdtemp(join(tmpdir(), 'lazy-builtins-'));
    const entry = join(folder, 'entry.ts');
    const program = join(folder, 'program.cjs');
    const text = `import { createHash } from 'node:crypto';
      import assert from 'node:assert';
      const isLoaded = () => process.moduleLoadList.includes('NativeModule crypto');
      const before = isLoaded();
      const hash = createHash('sha256').update('').digest('hex').slice(0, 8);
      assert(isLoaded());
      console.log(before, hash);`;
    await writeFile(entry, text);
    await bundle(entry, program);
    const { stdout } = await runNode([program]);
    await rm(folder, { recursive: true });
    expect(stdout).toEqual('false e3b0c442\n');
  });
});
