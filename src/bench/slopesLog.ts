/** Cost of the decision lines: how many each task start makes, their size, and CPU to write one. */
import { mkdtemp, open, rm, stat } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { CoreAction } from '../core/events';
import { PinoLog, SampledDecisionLog, type Decision } from '../observe';
import { processCpuUs } from './slopesMeter';
import { rowOf, type SlopeRow } from './slopesRow';
import { SchedulerDrive } from './slopesScheduler';
import { SubmitterDrive } from './slopesSubmitter';

const GROUP = 'decision lines';
const STARTS = 4000;
const JOB_TASKS = 4;
const LINES = 100_000;
/** Lines written at once and the pause after them: at most 50,000 lines a second. */
const CHUNK = 100;
const PAUSE_MS = 2;
/** After this time the log has written its last lines. */
const FLUSH_MS = 300;
const RUNS = 3;

interface Written {
  readonly usPerLine: number;
  readonly bytesPerLine: number;
  readonly lost: number;
}

function decisionsOf(actions: readonly CoreAction[]): readonly Decision[] {
  return actions.flatMap((action) => (action.type === 'decision' ? [action.decision] : []));
}

function schedulerDecisions(): readonly Decision[] {
  const actions: CoreAction[] = [];
  const drive = new SchedulerDrive(165, 9, (action) => actions.push(action));
  for (let left = STARTS; left > 0; left -= JOB_TASKS) {
    drive.request(JOB_TASKS);
    drive.release(JOB_TASKS);
  }
  return decisionsOf(actions);
}

function submitterDecisions(): readonly Decision[] {
  const actions: CoreAction[] = [];
  const drive = new SubmitterDrive(9, (action) => actions.push(action));
  for (let left = STARTS; left > 0; left -= JOB_TASKS) drive.submit(JOB_TASKS);
  return decisionsOf(actions);
}

function pause(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

async function writeChunks(
  log: SampledDecisionLog,
  decisions: readonly Decision[],
  left: number,
): Promise<void> {
  if (left <= 0) return;
  for (let index = 0; index < CHUNK; index += 1) {
    const decision = decisions[index % decisions.length];
    if (decision) log.record(decision);
  }
  await pause(PAUSE_MS);
  await writeChunks(log, decisions, left - CHUNK);
}

/** Writes to a file in the folder for temporary files. */
async function write(decisions: readonly Decision[], fraction: number): Promise<Written> {
  const folder = await mkdtemp(join(tmpdir(), 'wasabiyoke-slopes-'));
  const path = join(folder, 'log');
  const file = await open(path, 'w');
  try {
    const base = { host: 'sofia-a-1', domain: 'sofia-a' };
    const log = new PinoLog({ level: 'info', fd: file.fd, base });
    const startUs = processCpuUs();
    await writeChunks(new SampledDecisionLog(log, fraction), decisions, LINES);
    await pause(FLUSH_MS);
    const usPerLine = (processCpuUs() - startUs) / LINES;
    const { size } = await stat(path);
    return { usPerLine, bytesPerLine: size / LINES, lost: log.lost() };
  } finally {
    await file.close();
    await rm(folder, { recursive: true });
  }
}

async function writeTimes(
  decisions: readonly Decision[],
  fraction: number,
  times: number,
): Promise<readonly Written[]> {
  if (times === 0) return [];
  const written = await write(decisions, fraction);
  return [written, ...(await writeTimes(decisions, fraction, times - 1))];
}

/** All rows of the decision lines. */
export async function logRows(): Promise<readonly SlopeRow[]> {
  const bySubmitter = submitterDecisions();
  const byScheduler = schedulerDecisions();
  const all = [...bySubmitter, ...byScheduler];
  const [, ...full] = await writeTimes(all, 1, RUNS + 1);
  const [, ...none] = await writeTimes(all, 0, RUNS + 1);
  const us = (runs: readonly Written[]) => runs.map(({ usPerLine }) => usPerLine);
  const lost = full.map((run) => run.lost);
  return [
    rowOf(GROUP, 'submitter, per start, jobs of 4', 'lines', [bySubmitter.length / STARTS]),
    rowOf(GROUP, 'scheduler, per start, jobs of 4', 'lines', [byScheduler.length / STARTS]),
    rowOf(
      GROUP,
      'size of a line',
      'bytes',
      full.map((run) => run.bytesPerLine),
    ),
    rowOf(GROUP, 'CPU per line, written', 'µs', us(full)),
    rowOf(GROUP, 'CPU per line, sampled out', 'µs', us(none)),
    rowOf(GROUP, `lines lost of ${LINES}`, 'lines', lost),
  ];
}
