/** Builds the program that `deploy/system.toml` runs: tsx scripts/buildSystem.ts */
import { execFile } from 'node:child_process';
import { mkdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { bundle, ROOT } from './bundle';

const RUN_LINE = /^run = "node (.*?) ?target\/dispatcher\.cjs"$/m;

/** The V8 flags with which the deployment starts the program. */
async function deployedFlags(): Promise<readonly string[]> {
  const deployment = await readFile(join(ROOT, 'deploy/system.toml'), 'utf8');
  const flags = RUN_LINE.exec(deployment)?.[1];
  if (flags === undefined) throw new Error('deploy/system.toml does not run target/dispatcher.cjs');
  return flags.split(' ').filter((flag) => flag !== '');
}

async function main(): Promise<void> {
  const out = join(ROOT, 'target');
  const launcher = join(out, 'dispatcher.cjs');
  await mkdir(out, { recursive: true });
  await bundle(join(ROOT, 'platform/main.ts'), join(out, 'dispatcher.program.cjs'), true);
  await bundle(join(ROOT, 'src/startup/launcher.ts'), launcher, true);
  const options = [...(await deployedFlags()), launcher, '--write-code-cache'];
  await promisify(execFile)(process.execPath, options);
}

main().catch((error: unknown) => {
  process.stderr.write(`build failed: ${error instanceof Error ? error.message : String(error)}\n`);
  process.exitCode = 1;
});
