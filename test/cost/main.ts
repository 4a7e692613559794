/**
 * Measures what the start of a dispatcher process, a second at rest and a run cost, in real processor
 * time and memory, against stand-ins in a process of their own:
 * `npx tsx test/cost/main.ts --jobs-per-second 60 --seconds 10`. With `--hosts 12 --domains 3` all
 * hosts of a small site are measured together.
 */
import { spawn, type ChildProcess } from 'node:child_process';
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

const DOMAINS = ['sofia-a', 'plovdiv-b', 'varna-c'];
const PORTS_PER_HOST = 4;
const CONNECTIONS = 32;
/** As in `LayoutSelector`. */
const WORKERS_PER_CELL = 40;
const START_MS = 4000;
const REST_MS = 5000;
const DEADLINE_MS = 2000;
/** Clock ticks of /proc in a second. */
const TICKS_PER_S = 100;
const MS_PER_S = 1000;

interface Options {
  readonly program: string;
  readonly hosts: string;
  readonly domains: string;
  readonly workers: string;
  readonly jobsPerSecond: string;
  readonly tasks: string;
  readonly taskMs: string;
  readonly seconds: string;
  readonly flags: string;
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

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Starts a dispatcher process; `ports` are those of its settings. */
async function spawnHost(
  options: Options,
  index: number,
  ports: readonly number[],
  storeAddress: string,
): Promise<ChildProcess> {
  const folder = await mkdtemp(join(tmpdir(), 'cost-'));
  const settings = join(folder, 'settings.ini');
  const domains = DOMAINS.slice(0, Number(options.domains));
  const domain = domains[index % domains.length] ?? '';
  const hostId = `front-${index}`;
  await writeFile(settings, settingsText({ ports, storeAddress, hostId, domain, domains }));
  const node = [
    ...(options.profile ? ['--cpu-prof', `--cpu-prof-dir=${options.profile}`] : []),
    '--max-semi-space-size=4',
    ...options.flags.split(' ').filter((flag) => flag !== ''),
    options.program,
  ];
  return spawn(process.execPath, node, {
    env: { ...process.env, WASABIYOKE_BOOT: settings },
    stdio: ['ignore', 'ignore', 'inherit'],
  });
}

/** Sends jobs at a steady rate to all hosts in turn; returns the number of each outcome. */
async function sendJobs(
  options: Options,
  pools: readonly Pool[],
): Promise<ReadonlyMap<string, number>> {
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
    const pool = pools[number % pools.length];
    const call = pool?.request(request).then(async ({ statusCode, body }) => {
      const { state = statusCode } = (await body.json()) as { state?: string };
      outcomes.set(String(state), (outcomes.get(String(state)) ?? 0) + 1);
    });
    if (call) calls.push(call);
  }
  await Promise.all(calls);
  return outcomes;
}

async function measure(options: Options): Promise<void> {
  const store = new KvStandin();
  const storeAddress = await store.open();
  store.put('op/config', configurationText(1));
  const domains = DOMAINS.slice(0, Number(options.domains));
  const cellsPerDomain = Math.round(Number(options.workers) / domains.length / WORKERS_PER_CELL);
  store.put(LAYOUT_KEY, encodeLayout(Math.max(1, cellsPerDomain)));
  const workers = Array.from({ length: Number(options.workers) }, (_, index) => {
    const domain = domains[index % domains.length] ?? '';
    return new WorkerStandin(`i-${domain}-${index}`, domain, { maxRuns: 2 });
  });
  await Promise.all(workers.map((worker) => worker.open()));
  workers.forEach((worker) => store.put(`servers/${worker.id}`, worker.entry()));
  const hosts = Number(options.hosts);
  const block = await PortBlock.reserve(PORTS_PER_HOST * hosts);
  const children = await Promise.all(
    Array.from({ length: hosts }, (_, index) => {
      const ports = block.ports.slice(PORTS_PER_HOST * index, PORTS_PER_HOST * (index + 1));
      return spawnHost(options, index, ports, storeAddress);
    }),
  );
  const pids = children.map(({ pid }) => pid ?? 0);
  const usedMs = async () => sum(await Promise.all(pids.map(processorMs)));
  await sleep(START_MS);
  const startedMs = await usedMs();
  const renewalsOf = () => sum(workers.map(({ renewals }) => renewals));
  const renewalsAtStart = renewalsOf();
  await sleep(REST_MS);
  const restedMs = await usedMs();
  const renewalsAtLoad = renewalsOf();
  const pools = Array.from({ length: hosts }, (_, index) => {
    const address = `http://127.0.0.1:${block.ports[PORTS_PER_HOST * index]}`;
    return new Pool(address, { connections: CONNECTIONS });
  });
  const startsOf = () => sum(workers.map(({ starts }) => starts.length));
  const runsBefore = startsOf();
  const beganAtMs = performance.now();
  const outcomes = await sendJobs(options, pools);
  const elapsedS = (performance.now() - beganAtMs) / MS_PER_S;
  const loadMs = (await usedMs()) - restedMs;
  const runs = startsOf() - runsBefore;
  const restedRenewals = (renewalsAtLoad - renewalsAtStart) / workers.length;
  const report = {
    outcomes: Object.fromEntries(outcomes),
    runs,
    startMsPerHost: Number((startedMs / hosts).toFixed(0)),
    restMsPerHostSecond: Number(
      (((restedMs - startedMs) / hosts) * (MS_PER_S / REST_MS)).toFixed(1),
    ),
    restRenewalsPerWorkerSecond: Number((restedRenewals * (MS_PER_S / REST_MS)).toFixed(2)),
    renewalsPerRun: Number(((renewalsOf() - renewalsAtLoad) / runs).toFixed(2)),
    processorMsPerRun: Number((loadMs / runs).toFixed(3)),
    cores: Number((loadMs / elapsedS / MS_PER_S).toFixed(3)),
    residentMb: Math.max(...(await Promise.all(pids.map(residentMb)))),
  };
  process.stdout.write(`${JSON.stringify(report)}\n`);
  const ends = children.map((child) => once(child, 'exit'));
  children.forEach((child) => child.kill('SIGTERM'));
  await Promise.all(ends);
  await Promise.all(pools.map((pool) => pool.destroy()));
  workers.forEach((worker) => worker.close());
  store.close();
  await block.release();
}

const command = new Command('cost')
  .description('Measures the cost of a start, of rest and of a run in dispatcher processes')
  .option('--program <file>', 'bundle of the dispatcher', 'target/dispatcher.cjs')
  .option('--hosts <count>', 'dispatcher processes', '1')
  .option('--domains <count>', 'failure domains, at most 3', '1')
  .option('--workers <count>', 'workers of all cells', '40')
  .option('--jobs-per-second <count>', 'rate of jobs', '40')
  .option('--tasks <count>', 'tasks of a job', '4')
  .option('--task-ms <ms>', 'run time of a task', '100')
  .option('--seconds <count>', 'time of the load', '10')
  .option('--flags <flags>', 'further options of node for the dispatchers', '')
  .option('--profile <folder>', 'write profiles of the processor time there')
  .parse();
measure(command.opts<Options>()).catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? error.stack : String(error)}\n`);
  process.exitCode = 1;
});
