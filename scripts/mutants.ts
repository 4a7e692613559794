/**
 * Mutation check: breaks one guarding rule at a time in a copy of the tree and runs the tests that
 * guard it. A mutant that no test notices points to a missing test. Exits with 1 if one survives.
 * Run with: npx tsx scripts/mutants.ts [--only TEXT] [--jobs N]
 */
import { execFile } from 'node:child_process';
import {
  copyFile,
  mkdir,
  mkdtemp,
  readdir,
  readFile,
  rm,
  symlink,
  writeFile,
} from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { parseArgs } from 'node:util';
import { SCHEDULER_MUTANTS, SUBMITTER_MUTANTS } from './mutantsCore';
import { CONFIGURATION_MUTANTS, MEMBERSHIP_MUTANTS, WORKER_MUTANTS } from './mutantsOther';
import type { Mutant } from './mutantsTypes';

const ROOT = resolve(__dirname, '..');
const NOT_COPIED = new Set(['node_modules', '.git', 'dist', 'bench-out']);
const DEFAULT_JOBS = 3;
/** A mutant may loop for ever; the tests of one take a few seconds. */
const TEST_TIMEOUT_MS = 90_000;
const ALL: readonly Mutant[] = [
  ...SUBMITTER_MUTANTS,
  ...SCHEDULER_MUTANTS,
  ...CONFIGURATION_MUTANTS,
  ...MEMBERSHIP_MUTANTS,
  ...WORKER_MUTANTS,
];

/** `not applicable`: the text is not in the file exactly once, or the change does not compile. */
type Verdict = 'killed' | 'survived' | 'not applicable';

async function copyFolder(from: string, to: string): Promise<void> {
  await mkdir(to, { recursive: true });
  const entries = await readdir(from, { withFileTypes: true });
  await Promise.all(
    entries
      .filter(({ name }) => !NOT_COPIED.has(name))
      .map((entry) => {
        const [source, target] = [join(from, entry.name), join(to, entry.name)];
        return entry.isDirectory() ? copyFolder(source, target) : copyFile(source, target);
      }),
  );
}

async function copyTree(): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'mutants-'));
  await copyFolder(ROOT, folder);
  await symlink(join(ROOT, 'node_modules'), join(folder, 'node_modules'));
  return folder;
}

interface TestRun {
  readonly passed: boolean;
  readonly output: string;
}

function runTests(folder: string, tests: readonly string[]): Promise<TestRun> {
  const options = { cwd: folder, timeout: TEST_TIMEOUT_MS, maxBuffer: 64 * 1024 * 1024 };
  return new Promise((settle) => {
    execFile(
      process.execPath,
      ['--import', 'tsx', '--test', ...tests],
      options,
      (error, stdout, stderr) => settle({ passed: error === null, output: stdout + stderr }),
    );
  });
}

/** The rest of the run is worthless if the tests fail without a mutation. */
async function checkBaseline(folder: string, mutants: readonly Mutant[]): Promise<void> {
  const tests = [...new Set(mutants.flatMap((mutant) => mutant.tests))];
  const { passed, output } = await runTests(folder, tests);
  const failures = output.split('\n').filter((line) => /^\s*not ok/.test(line));
  if (!passed) throw new Error(`the tests fail without a mutation:\n${failures.join('\n')}`);
}

async function judge(folder: string, mutant: Mutant): Promise<Verdict> {
  const file = join(folder, mutant.file);
  const original = await readFile(file, 'utf8');
  if (original.split(mutant.text).length !== 2) return 'not applicable';
  await writeFile(
    file,
    original.replace(mutant.text, () => mutant.replacement),
  );
  const { passed, output } = await runTests(folder, mutant.tests);
  await writeFile(file, original);
  if (passed) return 'survived';
  return /Transform failed|SyntaxError|ReferenceError/.test(output) ? 'not applicable' : 'killed';
}

async function judgeAll(
  folder: string,
  queue: Mutant[],
  verdicts: Map<Mutant, Verdict>,
): Promise<void> {
  const mutant = queue.shift();
  if (mutant === undefined) return;
  const verdict = await judge(folder, mutant);
  verdicts.set(mutant, verdict);
  process.stdout.write(`${verdict.padEnd(14)} ${mutant.file}: ${mutant.name}\n`);
  await judgeAll(folder, queue, verdicts);
}

async function main(): Promise<void> {
  const { values } = parseArgs({ options: { only: { type: 'string' }, jobs: { type: 'string' } } });
  const { only = '' } = values;
  const mutants = ALL.filter(({ file, name }) => `${file}: ${name}`.includes(only));
  const jobs = Math.max(1, Number(values.jobs ?? DEFAULT_JOBS));
  const folders = await Promise.all(Array.from({ length: jobs }, copyTree));
  const verdicts = new Map<Mutant, Verdict>();
  try {
    await checkBaseline(folders[0] ?? ROOT, mutants);
    const queue = [...mutants];
    await Promise.all(folders.map((folder) => judgeAll(folder, queue, verdicts)));
  } finally {
    await Promise.all(folders.map((folder) => rm(folder, { recursive: true, force: true })));
  }
  const count = (verdict: Verdict) => [...verdicts.values()].filter((v) => v === verdict).length;
  const alive = mutants.length - count('killed');
  process.stdout.write(
    `${mutants.length} mutants: ${count('killed')} killed, ${count('survived')} survived, ` +
      `${count('not applicable')} not applicable\n`,
  );
  process.exitCode = alive > 0 ? 1 : 0;
}

main().catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? error.stack : String(error)}\n`);
  process.exitCode = 1;
});
