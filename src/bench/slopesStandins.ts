/**
 * Stand-ins of the platform and the load generator, in a thread of their own, so that the CPU of the
 * main thread is that of the entry hosts alone. Messages tell it what to do; see `StandinThread`.
 */
import { parentPort, workerData } from 'node:worker_threads';
import { HostListServer } from '../standins/hostListServer';
import { StoreServer } from '../standins/storeServer';
import { WorkerServer } from '../standins/workerServer';
import { LoadGenerator } from './load';
import type { LoadReport } from './loadTypes';
import { KIND, teamName, TEAMS } from './slopesFleet';

/** Sizes of the stand-ins. */
export interface StandinShape {
  readonly domains: readonly string[];
  readonly workersPerDomain: number;
}

/** A load of jobs of equal size. */
export interface StandinLoad {
  readonly hosts: readonly string[];
  readonly jobsPerS: number;
  readonly tasksPerJob: number;
  readonly runMs: number;
  readonly durationMs: number;
}

export type StandinRequest =
  { readonly type: 'load'; readonly load: StandinLoad } | { readonly type: 'close' };

export type StandinReply =
  | { readonly type: 'open'; readonly store: string; readonly hostList: string }
  | { readonly type: 'loaded'; readonly report: LoadReport }
  | { readonly type: 'closed' };

const SLOTS = 8;
const SEED = 7;
const MEMORY_MB = 250_000;
const DEADLINE_MS = 10_000;

const port = parentPort;
const { domains, workersPerDomain } = workerData as StandinShape;
const store = new StoreServer({ nowMs: () => performance.now() });
const hostList = new HostListServer();
const workers = domains.flatMap((domain) =>
  Array.from(
    { length: workersPerDomain },
    (_, index) =>
      new WorkerServer({
        id: `${domain}-w${index + 1}`,
        domain,
        rack: `${domain}-r1`,
        slots: SLOTS,
        memoryMb: MEMORY_MB,
      }),
  ),
);

function reply(message: StandinReply): void {
  port?.postMessage(message);
}

async function open(): Promise<void> {
  await Promise.all([store.start(), hostList.open(), ...workers.map((worker) => worker.open())]);
  hostList.set(workers.map((worker) => worker.hostListEntry));
  reply({ type: 'open', store: store.address, hostList: hostList.address });
}

async function runLoad(load: StandinLoad): Promise<void> {
  const { hosts, jobsPerS, tasksPerJob, runMs, durationMs } = load;
  const kinds = Array.from({ length: TEAMS }, (_, index) => ({
    team: teamName(index),
    kind: KIND,
    weight: 1,
    keyed: true,
    deadlineMs: DEADLINE_MS,
    tasks: { low: tasksPerJob, high: tasksPerJob },
    runMs: { low: runMs, high: runMs },
  }));
  const generator = new LoadGenerator({ hosts, kinds, jobsPerS, durationMs, seed: SEED });
  const report = await generator.run();
  await generator.close();
  reply({ type: 'loaded', report });
}

async function close(): Promise<void> {
  await Promise.all(workers.map((worker) => worker.close()));
  await hostList.close();
  await store.close();
  reply({ type: 'closed' });
  port?.close();
}

port?.on('message', (request: StandinRequest) => {
  if (request.type === 'load') runLoad(request.load);
  else close();
});
open();
