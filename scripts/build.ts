/**
 * Builds the program: one CommonJS file by esbuild, and from it one executable file, Node's single
 * executable application. Run with: tsx scripts/build.ts [--entry FILE] [--out FOLDER]
 */
import { execFile } from 'node:child_process';
import { chmod, copyFile, mkdir, rm, stat, writeFile } from 'node:fs/promises';
import { join, resolve } from 'node:path';
import { parseArgs, promisify } from 'node:util';
import { bundle, ROOT } from './bundle';

const NAME = 'wasabiyoke';

/** Marks the place in the node binary that tells it to run the injected program. */
const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

const execute = promisify(execFile);

/** Writes the blob that is injected into the binary. */
async function writeBlob(script: string, blob: string, configFile: string): Promise<void> {
  const config = { main: script, output: blob, disableExperimentalSEAWarning: true };
  await writeFile(configFile, JSON.stringify(config));
  await execute(process.execPath, ['--experimental-sea-config', configFile]);
}

async function inject(executable: string, blob: string): Promise<void> {
  const postject = require.resolve('postject/dist/cli.js');
  const target = [executable, 'NODE_SEA_BLOB', blob, '--sentinel-fuse', SENTINEL_FUSE];
  await execute(process.execPath, [postject, ...target]);
}

async function report(file: string): Promise<void> {
  const { size } = await stat(file);
  process.stdout.write(`${file} ${size} bytes\n`);
}

async function main(): Promise<void> {
  const { values } = parseArgs({
    options: { entry: { type: 'string' }, out: { type: 'string' } },
  });
  const out = resolve(values.out ?? join(ROOT, 'dist'));
  const script = join(out, `${NAME}.cjs`);
  const executable = join(out, NAME);
  const blob = join(out, `${NAME}.blob`);
  const config = join(out, 'sea-config.json');
  await mkdir(out, { recursive: true });
  await bundle(resolve(values.entry ?? join(ROOT, 'src/main.ts')), script);
  await writeBlob(script, blob, config);
  // A binary that is running can be removed but not overwritten.
  await rm(executable, { force: true });
  await copyFile(process.execPath, executable);
  await chmod(executable, 0o755);
  await inject(executable, blob);
  await Promise.all([rm(blob), rm(config)]);
  await report(script);
  await report(executable);
}

main().catch((error: unknown) => {
  process.stderr.write(`build failed: ${error instanceof Error ? error.message : String(error)}\n`);
  process.exitCode = 1;
});
