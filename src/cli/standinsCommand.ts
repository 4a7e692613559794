/**
 * The command `standins`: the store, the host list and the workers of a small site on loopback, so
 * that entry hosts can be tried by hand. Its state is lost when it ends.
 */
import { HostListServer } from '../standins/hostListServer';
import { StoreServer } from '../standins/storeServer';
import { WorkerServer } from '../standins/workerServer';
import type { StandinsOptions } from './context';
import type { Terminal } from './terminal';

const SLOTS = 8;
const MEMORY_MB = 250_000;
const WORKERS_PER_RACK = 8;

function createWorkers({ domains, workers }: StandinsOptions): readonly WorkerServer[] {
  return domains.flatMap((domain) =>
    Array.from(
      { length: workers },
      (_, index) =>
        new WorkerServer({
          id: `${domain}-w${index + 1}`,
          domain,
          rack: `${domain}-r${Math.floor(index / WORKERS_PER_RACK) + 1}`,
          slots: SLOTS,
          memoryMb: MEMORY_MB,
        }),
    ),
  );
}

function interrupted(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGINT', () => resolve());
    process.once('SIGTERM', () => resolve());
  });
}

/** Runs the stand-ins until the process is interrupted. */
export async function runStandins(options: StandinsOptions, terminal: Terminal): Promise<void> {
  const store = new StoreServer({ nowMs: () => performance.now() });
  const hostList = new HostListServer();
  const workers = createWorkers(options);
  try {
    await store.start(options.storePort);
    await hostList.open(options.hostListPort);
    await Promise.all(workers.map((worker) => worker.open()));
    hostList.set(workers.map((worker) => worker.hostListEntry));
    terminal.out(`store: ${store.address}`);
    terminal.out(`host list: http://${hostList.address}`);
    terminal.out(`${workers.length} workers in ${options.domains.join(', ')}; interrupt to end`);
    await interrupted();
  } finally {
    await Promise.all(workers.map((worker) => worker.close()));
    await hostList.close();
    await store.close();
  }
}
