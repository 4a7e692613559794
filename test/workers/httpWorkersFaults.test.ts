/**
 * Guards against a false `notStarted` while faults change during open starts: it would make the
 * dispatcher start a task a second time.
 */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { seededRandom } from '../../src/bench/loadArrivals';
import { WorkerServer } from '../../src/standins/workerServer';
import { HttpWorkers } from '../../src/workers/httpWorkers';
import type { AttemptResult } from '../../src/workers/workers';

const STARTS = 400;
const PARALLEL = 20;
const SEEDS = [1, 2, 3];

/** Makes one random change to the faults; about half of the changes clear all faults. */
async function changeFaults(server: WorkerServer, random: () => number): Promise<void> {
  const { faults, model } = server;
  const choice = Math.floor(random() * 12);
  switch (choice) {
    case 0:
      server.cut();
      break;
    case 1:
      faults.loseAnswers = true;
      break;
    case 2:
      faults.delayAnswersMs = 5;
      break;
    case 3:
      model.freeze();
      break;
    case 4:
      await server.die();
      await server.open();
      break;
    case 5:
      model.faults.refuseAll = true;
      break;
    default:
      Object.assign(faults, { cut: false, loseAnswers: false, delayAnswersMs: 0 });
      model.faults.refuseAll = false;
      model.thaw();
  }
}

async function runSeed(seed: number): Promise<{
  readonly falseNotStarted: readonly string[];
  readonly doubleStarts: number;
  readonly states: ReadonlySet<string>;
}> {
  const source = seededRandom(seed, 0);
  const random = (): number => source.next();
  const server = new WorkerServer({ slots: 8 });
  await server.open();
  const workers = new HttpWorkers(6, { controlTimeoutMs: 30, connectTimeoutMs: 30 });
  const results = new Map<string, AttemptResult>();
  let next = 0;
  let changes: Promise<void> = Promise.resolve();

  async function startNext(): Promise<void> {
    if (next >= STARTS) return;
    next += 1;
    const attemptId = `a${next}`;
    // Changes run one at a time: a restart must finish before the next change begins.
    if (random() < 0.2) changes = changes.then(() => changeFaults(server, random));
    await changes;
    const { ref } = server;
    const started = await workers.start(ref, {
      attemptId,
      submission: 's',
      task: attemptId,
      team: 'team',
      kind: 'unlock',
      payload: { runMs: Math.floor(random() * 8) },
      resources: { cores: 1, memoryMb: 1, accelerators: 0 },
      leaseMs: 40,
    });
    results.set(
      attemptId,
      started.state === 'unclear' ? await workers.revoke(ref, attemptId) : started,
    );
    await startNext();
  }

  await Promise.all(Array.from({ length: PARALLEL }, startNext));
  await workers.close();
  await server.close();
  const attempts = server.model.record.map((entry) => entry.attemptId);
  const recorded = new Set(attempts);
  const falseNotStarted = [...results]
    .filter(([attemptId, { state }]) => state === 'notStarted' && recorded.has(attemptId))
    .map(([attemptId]) => attemptId);
  const states = new Set([...results.values()].map(({ state }) => state));
  return { falseNotStarted, doubleStarts: attempts.length - recorded.size, states };
}

describe('HttpWorkers under faults', () => {
  SEEDS.forEach((seed) => {
    it(`reports notStarted only for attempts that never started, seed ${seed}`, async () => {
      const { falseNotStarted, doubleStarts, states } = await runSeed(seed);
      expect(falseNotStarted).toEqual([]);
      expect(doubleStarts).toEqual(0);
      expect(states.has('succeeded') && states.has('notStarted')).toEqual(true);
    });
  });
});
