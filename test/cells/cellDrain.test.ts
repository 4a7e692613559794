/** What happens to the batches and runs of a cell whose failure domain is drained. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { RunOutcome } from '../../src/cells/actions';
import { batchOf, CellSimulation } from './cellSimulation';

/** Long enough not to be refused, whatever waits. */
const PATIENT = { goalMs: 9000, deadlineInMs: 9000 };
const REFUSED = { type: 'refused', reason: 'domain-drained', retryAfterMs: 1000 } as const;

function drain(simulation: CellSimulation, drained = true): void {
  simulation.cell.setDrained(drained, simulation.nowMs);
  simulation.advance(1);
}

function loggedBy(simulation: CellSimulation): readonly string[] {
  const names = simulation.decisions.map(({ decision }) => decision);
  return names.filter((name) => name.startsWith('drain-'));
}

describe('a drained cell', () => {
  // Guards against starts in the domain after its owner knows, by whichever event.
  it('starts nothing, whatever arrives, ends or is reported', () => {
    const simulation = CellSimulation.withWorkers(2);
    for (let count = 0; count < 8; count += 1) simulation.offer(batchOf(PATIENT));
    simulation.advance(5);
    drain(simulation);
    const { length: before } = simulation.starts;
    for (let count = 0; count < 20; count += 1) {
      simulation.offer(batchOf({ ...PATIENT, begun: count % 2 === 0, taskCount: 3 }));
      simulation.advance(25);
    }
    expect(simulation.starts.length).toEqual(before);
  });

  // Guards against jobs that wait in the cell for their deadlines.
  it('refuses new batches and those that wait at once, and offers no room', () => {
    const simulation = CellSimulation.withWorkers(1);
    simulation.offer(batchOf({ ...PATIENT, taskCount: 2 }));
    const waiting = simulation.offer(batchOf(PATIENT));
    const begun = simulation.offer(batchOf({ ...PATIENT, begun: true }));
    simulation.advance(5);
    drain(simulation);
    const late = simulation.offer(batchOf(PATIENT));
    [waiting, begun, late].forEach(({ outcome }) => expect(outcome).toEqual(REFUSED));
    expect(simulation.cell.roomFor(batchOf(PATIENT), simulation.nowMs).tasks).toEqual(0);
  });

  // Guards against runs that are stopped, or lapse because nobody renews their leases.
  it('lets runs go on to their ends, and says when the last one has ended', () => {
    const simulation = CellSimulation.withWorkers(1);
    const running = simulation.offer(batchOf({ ...PATIENT, estimateMs: 2500, taskCount: 2 }));
    simulation.advance(5);
    drain(simulation);
    simulation.advance(2400);
    expect(loggedBy(simulation)).toEqual(['drain-begun']);
    simulation.advance(200);
    expect(running.outcome).toEqual({ type: 'done' });
    expect(loggedBy(simulation)).toEqual(['drain-begun', 'drain-completed']);
  });

  // Guards against tasks that run twice, are lost, or get more attempts than their queue allows
  // because the next cell does not know of their failures.
  it('returns a batch of which tasks have run once none is in progress', () => {
    const simulation = CellSimulation.withWorkers(1);
    simulation.workers.forEach(({ faults }) => Object.assign(faults, { fails: true }));
    const batch = batchOf({ ...PATIENT, taskCount: 3 });
    const record = simulation.offer(batch);
    simulation.advance(5);
    drain(simulation);
    expect(record.outcome).toEqual(null);
    simulation.advance(80);
    expect(record.outcome).toEqual({
      type: 'lost',
      reason: 'domain-drained',
      started: [],
      succeeded: [],
      failures: { [`${batch.jobId}.0.0.0`]: 1, [`${batch.jobId}.0.0.1`]: 1 },
    });
  });

  // Guards against a task that hangs on its worker until the deadline, because it can't be moved to
  // another one of the cell.
  it('returns a task that makes no progress, as soon as its run has been stopped', () => {
    const simulation = CellSimulation.withWorkers(2);
    Object.assign(simulation.workers[1]?.faults ?? {}, { hangs: true });
    const batch = batchOf({ ...PATIENT, taskCount: 2, estimateMs: 300 });
    const record = simulation.offer({ ...batch, shape: { ...batch.shape, cpuMillis: 40_000 } });
    simulation.advance(5);
    drain(simulation);
    simulation.advance(2000);
    expect(record.outcome).toEqual({
      type: 'lost',
      reason: 'domain-drained',
      started: [],
      succeeded: [`${batch.jobId}.0.0.0`],
      failures: {},
    });
  });

  // Guards against runs that are stopped because the cell has changed its owner during the drain.
  it('lets submitters claim runs of the previous owner', () => {
    const worker = CellSimulation.worker('w0');
    worker.leaseEndsAtMs = 300;
    const run = { task: 'alive.0.0.0', run: 1, cpuMillis: 27_000, startedAtMs: 0 };
    worker.runs.set('alive.0.0.0#1', { ...run, endsAtMs: 400, end: RunOutcome.succeeded });
    const simulation = new CellSimulation([worker]);
    drain(simulation);
    const batch = batchOf({ ...PATIENT, jobId: 'alive', begun: true, mayRun: true });
    const record = simulation.offer(batch);
    simulation.advance(450);
    expect(record.outcome).toEqual({ type: 'done' });
  });

  // Guards against a cell that stays empty after the drain, also if what was learned says that all
  // its workers are slow.
  it('serves again at once when the drain ends', () => {
    const simulation = CellSimulation.withWorkers(2);
    simulation.cell.workers.forEach((worker) => {
      for (let count = 0; count < 40; count += 1) worker.learnSlowness(15);
    });
    drain(simulation);
    simulation.advance(3000);
    drain(simulation, false);
    const record = simulation.offer(batchOf());
    simulation.advance(70);
    expect(record.outcome).toEqual({ type: 'done' });
    expect(loggedBy(simulation)).toEqual(['drain-begun', 'drain-completed', 'drain-ended']);
  });
});
