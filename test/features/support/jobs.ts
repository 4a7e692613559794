/**
 * Reads how jobs are described: "20 jobs of 10 tasks of 200 ms", followed by any of these, each after
 * a comma: "declared as 20 ms", "needing 10 cores per task", "needing 2 accelerators per task",
 * "with a deadline of 2 seconds", "without keys", "over 3 seconds".
 */
import type { JobPlan, KindModel } from '../../../src/bench';
import { toMs } from './names';

/** Jobs that are alike. */
export interface JobBatch {
  readonly plan: JobPlan;
  readonly count: number;
  readonly overMs: number;
}

interface Draft extends JobBatch {
  readonly declaredMs: number | null;
}

type Reader = (draft: Draft, values: readonly string[]) => Draft;

const withPlan = (draft: Draft, change: Partial<JobPlan>): Draft => ({
  ...draft,
  plan: { ...draft.plan, ...change },
});

const READERS: readonly (readonly [RegExp, Reader])[] = [
  [
    /^declared as (\d+) (ms|seconds?)$/,
    (d, [n = '', unit = '']) => ({ ...d, declaredMs: toMs(n, unit) }),
  ],
  [
    /^needing (\d+) cores per task$/,
    (d, [n]) => withPlan(d, { resources: { ...d.plan.resources, cores: Number(n) } }),
  ],
  [
    /^needing (\d+) accelerators? per task$/,
    (d, [n]) => withPlan(d, { resources: { ...d.plan.resources, accelerators: Number(n) } }),
  ],
  [
    /^with a deadline of (\d+) (ms|seconds?)$/,
    (d, [n = '', unit = '']) => withPlan(d, { deadlineMs: toMs(n, unit) }),
  ],
  [/^without keys$/, (d) => withPlan(d, { keyed: false })],
  [/^over (\d+) (ms|seconds?)$/, (d, [n = '', unit = '']) => ({ ...d, overMs: toMs(n, unit) })],
];

function read(draft: Draft, modifier: string): Draft {
  const reader = READERS.find(([pattern]) => pattern.test(modifier));
  if (reader === undefined) throw new Error(`not understood: "${modifier}"`);
  const [pattern, apply] = reader;
  return apply(draft, (pattern.exec(modifier) ?? []).slice(1));
}

/** The jobs that the words describe. */
export function batchOf(kind: KindModel, sizes: string, modifiers: string): JobBatch {
  const found = /^(\d+) jobs? of (\d+) tasks? of (\d+) (ms|seconds?)$/.exec(sizes);
  if (found === null) throw new Error(`not understood: "${sizes}"`);
  const [, count = '', tasks = '', run = '', unit = ''] = found;
  const runMs = toMs(run, unit);
  const plan: JobPlan = {
    team: kind.team,
    kind: kind.kind,
    deadlineMs: kind.deadlineMs,
    tasks: [],
    resources: { cores: 1, memoryMb: 100, accelerators: 0 },
    keyed: true,
    flood: false,
  };
  const draft = modifiers
    .split(',')
    .map((each) => each.trim())
    .filter((each) => each !== '')
    .reduce(read, { plan, count: Number(count), overMs: 0, declaredMs: null });
  const task = { runMs, declaredMs: draft.declaredMs ?? runMs };
  return {
    ...draft,
    plan: { ...draft.plan, tasks: Array.from({ length: Number(tasks) }, () => task) },
  };
}
