/**
 * Measures how CPU, memory and bytes grow with the size of a deployment; docs/CAPACITY.md works its
 * figures out from these slopes. Run with `npx tsx src/bench/slopes.ts`, optionally with the names of
 * the parts to run: decisions, log, messages, memory, membership, wire, control, rest, http.
 */
import { mkdir, writeFile } from 'node:fs/promises';
import { cpus } from 'node:os';
import { join } from 'node:path';
import { controlRows } from './slopesControl';
import { decisionRows } from './slopesDecisions';
import { httpRows, restRows } from './slopesHttp';
import { logRows } from './slopesLog';
import { membershipRows } from './slopesMembership';
import { memoryRows } from './slopesMemory';
import { messageRows } from './slopesMessages';
import { tableOf, type SlopeRow } from './slopesRow';
import { wireRows } from './slopesWire';

const OUT_FOLDER = 'bench-out';

/** A part sees the rows of the parts before it. */
type Part = (measured: readonly SlopeRow[]) => readonly SlopeRow[] | Promise<readonly SlopeRow[]>;

const PARTS: ReadonlyMap<string, Part> = new Map<string, Part>([
  ['decisions', decisionRows],
  ['log', logRows],
  ['messages', messageRows],
  ['memory', memoryRows],
  ['membership', membershipRows],
  ['wire', wireRows],
  ['control', controlRows],
  ['rest', restRows],
  ['http', httpRows],
]);

/** Runs the parts one after the other, so that they do not disturb each other. */
async function runParts(
  names: readonly string[],
  measured: readonly SlopeRow[] = [],
): Promise<readonly SlopeRow[]> {
  const [name, ...rest] = names;
  if (name === undefined) return measured;
  const part = PARTS.get(name);
  if (!part) throw new Error(`unknown part ${name}; known are ${[...PARTS.keys()].join(', ')}`);
  const startedAtMs = performance.now();
  const rows = await part(measured);
  const seconds = ((performance.now() - startedAtMs) / 1000).toFixed(1);
  process.stderr.write(`${name}: ${rows.length} rows, ${seconds} s\n`);
  return runParts(rest, [...measured, ...rows]);
}

async function run(names: readonly string[]): Promise<void> {
  const rows = await runParts(names.length > 0 ? names : [...PARTS.keys()]);
  const machine = { cpu: cpus()[0]?.model ?? '', cores: cpus().length, node: process.version };
  const report = { measuredAt: new Date().toISOString(), machine, rows };
  await mkdir(OUT_FOLDER, { recursive: true });
  await writeFile(join(OUT_FOLDER, 'slopes.json'), `${JSON.stringify(report, null, 2)}\n`);
  process.stdout.write(tableOf(rows));
}

run(process.argv.slice(2)).catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? (error.stack ?? error.message) : error}\n`);
  process.exitCode = 1;
});
