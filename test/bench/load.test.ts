/**
 * Guards against a load that depends on the speed of the hosts, jobs that are lost from the figures,
 * and wrong answers that pass for right ones.
 */
import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { LoadGenerator } from '../../src/bench/load';
import { LoadPlan } from '../../src/bench/loadPlan';
import type { LoadKind, LoadProgress } from '../../src/bench/loadTypes';
import type { JobAnswer, JobSpec } from '../../src/core/job';
import { CallerApi } from '../../src/host/callerApi';
import { FakeSubmissions } from '../host/fakeSubmissions';

const SILENT = {
  log: { debug() {}, info() {}, warn() {}, error() {} },
  metrics: { count() {}, gauge() {}, timing() {} },
};
const UNLOCK: LoadKind = {
  team: 'kiosk',
  kind: 'unlock',
  weight: 3,
  keyed: false,
  deadlineMs: 10_000,
  tasks: { low: 1, high: 100 },
  runMs: { low: 50, high: 1000 },
};
const SETTLE: LoadKind = { ...UNLOCK, kind: 'settle', weight: 1, keyed: true };
const OPTIONS = { kinds: [UNLOCK, SETTLE], jobsPerS: 200, durationMs: 300, seed: 7 };

let service: FakeSubmissions;
let api: CallerApi;

function echo(job: JobSpec): JobAnswer {
  const tasks = job.tasks.map(({ id, payload }) => ({
    id,
    state: 'succeeded' as const,
    result: payload,
  }));
  return { outcome: 'complete', key: '', notRun: false, tasks };
}

function plannedJobs(plan: LoadPlan, durationMs: number): number {
  let jobs = 0;
  while (plan.dueMs <= durationMs) {
    plan.take();
    jobs += 1;
  }
  return jobs;
}

function lastSubmitted(): JobSpec {
  const last = service.submitted.at(-1);
  if (last === undefined) throw new Error('nothing was submitted');
  return last.job;
}

/** A host that accepts connections and resets them when a request arrives. */
async function resettingHost(): Promise<{ readonly server: Server; readonly address: string }> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => socket.resetAndDestroy());
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
}

describe('LoadPlan', () => {
  it('draws the same jobs from the same seed, with sizes and run times in their ranges', () => {
    const draw = (seed: number) => {
      const plan = new LoadPlan(OPTIONS.kinds, 100, seed);
      return Array.from({ length: 500 }, () => plan.take());
    };
    const jobs = draw(1);
    expect(draw(1)).toEqual(jobs);
    expect(draw(2)[0]?.dueMs === jobs[0]?.dueMs).toEqual(false);
    expect(jobs.map((job) => job.number)).toEqual(jobs.map((_job, index) => index + 1));
    const sizes = jobs.map((job) => job.runMs.length);
    expect([Math.min(...sizes) >= 1, Math.max(...sizes) <= 100]).toEqual([true, true]);
    const runMs = jobs.flatMap((job) => job.runMs);
    expect([Math.min(...runMs) >= 50, Math.max(...runMs) <= 1000]).toEqual([true, true]);
  });

  it('keeps the mix and the rate, and floods with one kind', () => {
    const plan = new LoadPlan(OPTIONS.kinds, 100, 3);
    const jobs = Array.from({ length: 4000 }, () => plan.take());
    const unlocks = jobs.filter((job) => job.kind === UNLOCK).length;
    expect(Math.abs(unlocks / jobs.length - 0.75) < 0.03).toEqual(true);
    const lastMs = jobs.at(-1)?.dueMs ?? 0;
    expect(Math.abs(lastMs / 40_000 - 1) < 0.1).toEqual(true);
    plan.setFactor('kiosk', 'settle', 9, lastMs);
    const flood = Array.from({ length: 4000 }, () => plan.take());
    const floods = flood.filter((job) => job.kind === SETTLE).length;
    expect(Math.abs(floods / flood.length - 0.75) < 0.03).toEqual(true);
    plan.setRate(0, lastMs);
    expect(plan.dueMs).toEqual(Infinity);
  });
});

describe('LoadGenerator', () => {
  beforeEach(async () => {
    service = new FakeSubmissions();
    service.answer = async () => echo(lastSubmitted());
    api = new CallerApi(service, {}, SILENT);
    await api.open();
  });

  afterEach(() => api.close());

  it('sends every planned job once and reports it by kind', async () => {
    const load = new LoadGenerator({ ...OPTIONS, hosts: [api.address] });
    const report = await load.run();
    await load.close();
    const planned = plannedJobs(new LoadPlan(OPTIONS.kinds, 200, 7), 300);
    expect([report.total.jobs, service.submitted.length]).toEqual([planned, planned]);
    expect(report.total.outcomes.complete).toEqual(planned);
    expect(report.total.completedTasks).toEqual(report.total.tasks);
    expect(report.total.ratio.count).toEqual(planned);
    const kinds = Object.values(report.kinds);
    expect(kinds.reduce((sum, figures) => sum + figures.jobs, 0)).toEqual(planned);
    const keys = service.submitted.map(({ key }) => key).filter((key) => key !== null);
    expect(keys.length).toEqual(report.kinds['kiosk/settle']?.jobs ?? 0);
    expect(new Set(keys).size).toEqual(keys.length);
  });

  it('sends a job again elsewhere when the connection breaks', async () => {
    const broken = await resettingHost();
    const hosts = [broken.address, api.address];
    const load = new LoadGenerator({ ...OPTIONS, hosts, avoidHostMs: 0 });
    const report = await load.run();
    await load.close();
    broken.server.close();
    expect(report.total.outcomes.complete).toEqual(report.total.jobs);
    expect(report.total.resubmits > 0).toEqual(true);
    expect(service.submitted.length).toEqual(report.total.jobs);
  });

  it('counts jobs that no host takes', async () => {
    const broken = await resettingHost();
    const load = new LoadGenerator({ ...OPTIONS, hosts: [broken.address], resubmits: 1 });
    const report = await load.run();
    await load.close();
    broken.server.close();
    expect(report.total.outcomes.broken).toEqual(report.total.jobs);
    expect(report.total.reasons).toEqual({
      connection: report.kinds['kiosk/unlock']?.jobs ?? 0,
      'no-key': report.kinds['kiosk/settle']?.jobs ?? 0,
    });
  });

  it('counts refusals by reason', async () => {
    service.answer = async () => ({
      outcome: 'refused',
      key: '',
      notRun: true,
      reason: 'overloaded',
      tasks: [],
    });
    const load = new LoadGenerator({ ...OPTIONS, hosts: [api.address] });
    const report = await load.run();
    await load.close();
    expect(report.total.outcomes.refused).toEqual(report.total.jobs);
    expect(report.total.reasons).toEqual({ overloaded: report.total.jobs });
    expect(report.total.ratio.max).toEqual(0);
  });

  it('finds answers with the results of another job', async () => {
    service.answer = async () => echo(service.submitted[0]?.job ?? lastSubmitted());
    const load = new LoadGenerator({ ...OPTIONS, hosts: [api.address] });
    const report = await load.run();
    await load.close();
    expect(report.total.outcomes.wrong).toEqual(report.total.jobs - 1);
  });

  it('reports progress and gives up open jobs when it is closed', async () => {
    const release = service.hold();
    let progressed: (progress: LoadProgress) => void = () => undefined;
    const first = new Promise<LoadProgress>((resolve) => {
      progressed = resolve;
    });
    const load = new LoadGenerator({
      ...OPTIONS,
      hosts: [api.address],
      durationMs: 600_000,
      progressPeriodMs: 100,
      onProgress: (progress) => progressed(progress),
    });
    const result = load.run();
    const submission = service.nextSubmission();
    await submission;
    const progress = await first;
    load.setFactor('kiosk', 'settle', 0);
    load.setRate(0);
    await load.close();
    const report = await result;
    release();
    expect(progress.total.jobs <= report.total.jobs).toEqual(true);
    expect(report.total.outcomes.abandoned).toEqual(report.total.jobs);
    expect(report.total.jobs > 0).toEqual(true);
  });
});
