/**
 * Load pattern "retry storm": more work arrives than the cell can serve, and clients that are
 * refused send their jobs again, when their objective has passed. Served as if they were new, they
 * would make the jobs late that could still be in time.
 */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { TaskBatch } from '../../src/cells/messages';
import { SeededRandom } from '../../src/bench/random';
import { FirstArrivals } from '../../src/cells/firstArrivals';
import { batchOf, CellSimulation, type BatchRecord } from './cellSimulation';

const SECOND_MS = 1000;
const LOAD_MS = 10 * SECOND_MS;
const WORKERS = 8;
/** A worker has room for two tasks of 200 ms, so the cell serves 40 jobs of two tasks a second. */
const CAPACITY_PER_SECOND = 40;
const RETURN_MS = 800;
const SEED = 5;
const KIND = { queue: 'check', estimateMs: 200, taskCount: 2, deadlineInMs: 2600 } as const;

interface Client {
  readonly job: TaskBatch;
  record: BatchRecord;
  returnAtMs: number | null;
  retries: number;
}

/** Offers jobs at an even rate; refused clients return, `retries` times, after about `RETURN_MS`. */
function shareInTime(load: number, retries: number): number {
  const simulation = CellSimulation.withWorkers(WORKERS);
  const clients: Client[] = [];
  const random = new SeededRandom(SEED, 'returns');
  const intervalMs = SECOND_MS / (load * CAPACITY_PER_SECOND);
  let nextAtMs = 0;
  while (simulation.nowMs < LOAD_MS + 4 * SECOND_MS) {
    if (simulation.nowMs >= nextAtMs && simulation.nowMs < LOAD_MS) {
      nextAtMs += intervalMs;
      const job = batchOf(KIND);
      clients.push({ job, record: simulation.offer(job), returnAtMs: null, retries });
    }
    clients.forEach((each) => {
      const client = each;
      if (client.record.outcome?.type === 'refused' && client.retries > 0) {
        client.returnAtMs ??= client.record.endedAtMs + random.between(0.7, 1.3) * RETURN_MS;
      }
      if (client.returnAtMs === null || simulation.nowMs < client.returnAtMs) return;
      client.retries -= 1;
      client.returnAtMs = null;
      const { job } = client;
      const waitedMs = simulation.nowMs - client.record.offeredAtMs;
      const deadlineInMs = client.record.batch.deadlineInMs - waitedMs;
      const again = { ...job, batchId: `${job.batchId}-${client.retries}`, deadlineInMs };
      client.record = simulation.offer(again);
    });
    simulation.advance(1);
  }
  const inTime = clients.filter(({ job, record }) => {
    const isFirstTry = record.batch.batchId === job.batchId;
    return (
      isFirstTry && record.outcome?.type === 'done' && record.endedAtMs <= record.objectiveAtMs
    );
  });
  return inTime.length / clients.length;
}

describe('a cell whose refused clients return', () => {
  it('retry storm: returning clients take nothing from jobs that can be in time', () => {
    [1.2, 1.6].forEach((load) => {
      const alone = shareInTime(load, 0);
      expect(alone).toBeGreaterThan(0.5);
      expect(shareInTime(load, 2)).toBeGreaterThanOrEqual(alone - 0.02);
    });
  });

  it('serves a returning client late if nothing else waits', () => {
    const simulation = CellSimulation.withWorkers(1);
    const job = batchOf({ ...KIND, deadlineInMs: 2600 });
    simulation.cell.offer({ ...job, batchId: 'first', estimateMs: 9000 }, simulation.nowMs);
    simulation.cell.withdraw('first', 'withdrawn', simulation.nowMs);
    simulation.advance(RETURN_MS);
    const record = simulation.offer(job);
    simulation.advance(SECOND_MS);
    expect(record.outcome).toEqual({ type: 'done' });
  });
});

describe('first arrivals of jobs', () => {
  const job = batchOf({ ...KIND, deadlineInMs: 1000 });

  it('count the wait of a job from its first arrival, as long as its client waits', () => {
    const arrivals = new FirstArrivals();
    expect(arrivals.withTotalWait({ ...job, waitedMs: 5 }, 100).waitedMs).toEqual(5);
    expect(arrivals.withTotalWait({ ...job, waitedMs: 2 }, 900).waitedMs).toEqual(805);
    expect(arrivals.withTotalWait({ ...job, waitedMs: 2 }, 1100).waitedMs).toEqual(2);
  });

  it('keep a bounded number of jobs', () => {
    const arrivals = new FirstArrivals();
    for (let index = 0; index < 30_000; index += 1) {
      arrivals.withTotalWait({ ...job, jobId: `${index}`, deadlineInMs: 60_000 }, index);
    }
    expect(arrivals.size).toEqual(20_000);
  });
});
