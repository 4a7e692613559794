/**
 * Measures what a run costs one dispatcher process, in real processor time and memory, against stand-ins
 * in a process of their own: `npx tsx test/cost/main.ts --jobs-per-second 60 --seconds 10`.
 */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, readFile, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { Command } from 'commander';
import { Pool } from 'undici';
import { encodeLayout, LAYOUT_KEY } from '../../src/dispatcher/ownership/cellRecord';
import { PortBlock } from '../../src/standins/portBlock';
import { configurationText } from '../platform/deployment';
import { jobIdOf, jobRequest } from '../platform/jobRequest';
import { KvStandin } from '../platform/kvStandin';
import { settingsText } from '../platform/processSettings';
import { WorkerStandin } from '../platform/workerStandin';

const DOMAIN = 'sofia-a';
const CONNECTIONS = 32;
const START_MS = 3000;
const DEADLINE_MS = 2000;
/** Clock ticks of /proc in a second. */
const TICKS_PER_S = 100;
const MS_PER_S = 1000;

interface Options {
  readonly program: string;
  readonly workers: string;
  readonly jobsPerSecond: string;
  readonly tasks: string;
  readonly taskMs: string;
  readonly seconds: string;
  readonly profile?: string;
}

/** Processor time of a process so far, user and system, in milliseconds. */
async function processorMs(pid: number): Promise<number> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.split(') ')[1]?.split(' ') ?? [];
  return ((Number(fields[11]) + Number(fields[12])) * MS_PER_S) / TICKS_PER_S;
}

async function residentMb(pid: number): Promise<number> {
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  return Math.round(Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1024);
}

async function measure(options: Options): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), 'cost-'));
  const store = new KvStandin();
  const storeAddress = await store.open();
  store.put('op/config', configurationText(1));
  store.put(LAYOUT_KEY, encodeLayout(1));
  const workers = Array.from(
    { length: Number(options.workers) },
    (_, index) => new WorkerStandin(`i-${DOMAIN}-${index}`, DOMAIN, { maxRuns: 2 }),
  );
  await Promise.all(workers.map((worker) => worker.open()));
  workers.forEach((worker) => store.put(`servers/${worker.id}`, worker.entry()));
  const block = await PortBlock.reserve(4);
  const settings = join(folder, 'settings.ini');
  await writeFile(settings, settingsText({ ports: block.ports, storeAddress, domain: DOMAIN }));
  const node = [
    ...(options.profile ? ['--cpu-prof', `--cpu-prof-dir=${options.profile}`] : []),
    '--max-semi-space-size=4',
    options.program,
  ];
  const child = spawn(process.execPath, node, {
    env: { ...process.env, WASABIYOKE_BOOT: settings },
    stdio: ['ignore', 'ignore', 'inherit'],
  });
  await sleep(START_MS);
  const pid = child.pid ?? 0;
  const pool = new Pool(`http://127.0.0.1:${block.ports[0]}`, { connections: CONNECTIONS });
  const runsBefore = workers.reduce((sum, { starts }) => sum + starts.length, 0);
  const beforeMs = await processorMs(pid);
  const beganAtMs = performance.now();
  const total = Number(options.jobsPerSecond) * Number(options.seconds);
  const outcomes = new Map<string, number>();
  const calls: Promise<void>[] = [];
  for (let number = 1; number <= total; number += 1) {
    const dueMs = beganAtMs + ((number - 1) * MS_PER_S) / Number(options.jobsPerSecond);
    // eslint-disable-next-line no-await-in-loop -- jobs come at a steady rate
    if (dueMs > performance.now()) await sleep(dueMs - performance.now());
    const request = jobRequest({
      id: jobIdOf(number),
      payload: options.taskMs,
      tasks: Number(options.tasks),
      deadlineMs: DEADLINE_MS,
    });
    calls.push(
      pool.request(request).then(async ({ statusCode, body }) => {
        const { state = statusCode } = (await body.json()) as { state?: string };
        outcomes.set(String(state), (outcomes.get(String(state)) ?? 0) + 1);
      }),
    );
  }
  await Promise.all(calls);
  const elapsedS = (performance.now() - beganAtMs) / MS_PER_S;
  const usedMs = (await processorMs(pid)) - beforeMs;
  const runs = workers.reduce((sum, { starts }) => sum + starts.length, 0) - runsBefore;
  const report = {
    outcomes: Object.fromEntries(outcomes),
    runs,
    processorMsPerRun: Number((usedMs / runs).toFixed(3)),
    cores: Number((usedMs / elapsedS / MS_PER_S).toFixed(3)),
    residentMb: await residentMb(pid),
  };
  process.stdout.write(`${JSON.stringify(report)}\n`);
  const ended = once(child, 'exit');
  child.kill('SIGTERM');
  await ended;
  await pool.destroy();
  workers.forEach((worker) => worker.close());
  store.close();
  await block.release();
}

const command = new Command('cost')
  .description('Measures the cost of a run in one dispatcher process')
  .option('--program <file>', 'bundle of the dispatcher', 'target/dispatcher.cjs')
  .option('--workers <count>', 'workers of the only cell', '40')
  .option('--jobs-per-second <count>', 'rate of jobs', '40')
  .option('--tasks <count>', 'tasks of a job', '4')
  .option('--task-ms <ms>', 'run time of a task', '100')
  .option('--seconds <count>', 'time of the load', '10')
  .option('--profile <folder>', 'write a profile of the processor time there')
  .parse();
measure(command.opts<Options>()).catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? error.stack : String(error)}\n`);
  process.exitCode = 1;
});
