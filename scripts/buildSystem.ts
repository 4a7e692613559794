/** Builds the program that `deploy/system.toml` runs: tsx scripts/buildSystem.ts */
import { mkdir } from 'node:fs/promises';
import { join } from 'node:path';
import { bundle, ROOT } from './bundle';

async function main(): Promise<void> {
  const out = join(ROOT, 'target');
  await mkdir(out, { recursive: true });
  await bundle(join(ROOT, 'platform/main.ts'), join(out, 'dispatcher.cjs'), true);
}

main().catch((error: unknown) => {
  process.stderr.write(`build failed: ${error instanceof Error ? error.message : String(error)}\n`);
  process.exitCode = 1;
});
