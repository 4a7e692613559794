/** Steps of callers: jobs, loads, floods, cancellations and resubmissions. */
import { When } from '@cucumber/cucumber';
import { batchOf } from '../support/jobs';
import { fleet } from '../support/scenario';
import { toMs } from '../support/names';
import type { Fleet } from '../support/fleet';

const JOBS =
  /^(\d+ jobs? of \d+ tasks? of \d+ \w+) (?:is|are) submitted to team (\w+)((?:, [\w ]+)*)$/;

When(JOBS, (sizes: string, team: string, modifiers: string) => {
  const batch = batchOf(fleet().kindOf(team), sizes, modifiers);
  fleet().do((each) => each.submit(batch.plan, batch.count, batch.overMs));
});

When(
  /^team (\w+) submits work for (\d+) % of the slots over (\d+) (ms|seconds?)$/,
  (team: string, percent: string, value: string, unit: string) => {
    fleet().do((each) => each.load(team, Number(percent) / 100, toMs(value, unit), false));
  },
);

When(
  /^team (\w+) floods the fleet with (\d+) times its capacity over (\d+) (ms|seconds?)$/,
  (team: string, times: string, value: string, unit: string) => {
    fleet().do((each) => each.load(team, Number(times), toMs(value, unit), true), true);
  },
);

/** Jobs with keys, whose callers can come back. */
function keyedJobs({ harness: { record } }: Fleet): readonly number[] {
  return record.jobs.filter(({ key }) => key !== null).map(({ jobId }) => jobId);
}

When('the callers cancel all jobs', () => {
  fleet().do((each) => keyedJobs(each).forEach((job) => each.harness.callers.cancel(job)));
});

When(/^the callers cancel every (?:second|(\d+)(?:rd|th)) job$/, (nth: string | null) => {
  const step = Number(nth ?? 2);
  fleet().do((each) =>
    keyedJobs(each)
      .filter((_, index) => index % step === step - 1)
      .forEach((job) => each.harness.callers.cancel(job)),
  );
});

When(/^the caller cancels job (\d+)$/, (ordinal: string) => {
  fleet().do((each) => each.harness.callers.cancel(Number(ordinal) - 1));
});

When(
  /^all jobs are submitted again through other hosts(?: (\d+) times)?$/,
  (times: string | null) => {
    fleet().do((each) => {
      Array.from({ length: Number(times ?? 1) }).forEach(() =>
        keyedJobs(each).forEach((job) => each.harness.callers.resubmit(job)),
      );
    });
  },
);

When(/^job (\d+) is submitted again through another host$/, (ordinal: string) => {
  fleet().do((each) => each.harness.callers.resubmit(Number(ordinal) - 1));
});
