/** Steps that bring faults about, and end them. */
import { When } from '@cucumber/cucumber';
import type { Fleet } from '../support/fleet';
import { toMs } from '../support/names';
import { fleet } from '../support/scenario';

type Target = (each: Fleet) => string;
type Deed = (each: Fleet, id: string) => void;

const HOST = /^(?:host (\d+)|the scheduler) of domain (\w+)/;
const WORKER = /^worker (\d+) of domain (\w+)/;

function following(start: RegExp, words: string): RegExp {
  return new RegExp(`${start.source} ${words}$`);
}

function hostOf(ordinal: string | null, domain: string): Target {
  return (each) =>
    ordinal === null ? each.harness.schedulerOf(domain) : each.hostId(Number(ordinal), domain);
}

function onHost(words: string, deed: Deed): void {
  When(following(HOST, words), (ordinal: string | null, domain: string) => {
    fleet().do((each) => deed(each, hostOf(ordinal, domain)(each)));
  });
}

function onWorker(words: string, deed: Deed): void {
  When(following(WORKER, words), (ordinal: string, domain: string) => {
    fleet().do((each) => deed(each, each.workerId(Number(ordinal), domain)));
  });
}

onHost('dies', ({ harness }, id) => harness.killHost(id));
onHost('is started again', ({ harness }, id) => harness.startHost(id));
onHost('is paused', ({ harness }, id) => harness.pauseHost(id));
onHost('goes on', ({ harness }, id) => harness.resumeHost(id));
onHost('is told to drain', ({ harness }, id) => harness.drainHost(id));
onHost('is shut down gracefully', (each, id) => each.shutDown(id));

When(
  following(HOST, 'is paused for (\\d+) (ms|seconds?)'),
  (ordinal: string | null, domain: string, value: string, unit: string) => {
    fleet().do((each) => {
      const id = hostOf(ordinal, domain)(each);
      each.harness.pauseHost(id);
      each.harness.timeline.after(toMs(value, unit), () => each.harness.resumeHost(id));
    });
  },
);

onWorker('dies', ({ harness }, id) => harness.killWorker(id));
onWorker('falls silent', ({ harness }, id) => harness.killWorker(id, 'silent'));
onWorker('is started again', ({ harness }, id) => harness.restartWorker(id));
onWorker('freezes', ({ harness }, id) => harness.freezeWorker(id));
onWorker('thaws', ({ harness }, id) => harness.thawWorker(id));
onWorker('is leaving', ({ harness }, id) => harness.setLeaving(id));
onWorker('stays', ({ harness }, id) => harness.setLeaving(id, false));
onWorker('fails every task', ({ harness }, id) => harness.setWorker(id, { failEveryTask: true }));
onWorker('is sound again', ({ harness }, id) => harness.setWorker(id, {}));

When(
  following(WORKER, 'freezes for (\\d+) (ms|seconds?)'),
  (ordinal: string, domain: string, value: string, unit: string) => {
    fleet().do((each) => {
      const id = each.workerId(Number(ordinal), domain);
      each.harness.freezeWorker(id);
      each.harness.timeline.after(toMs(value, unit), () => each.harness.thawWorker(id));
    });
  },
);

When(
  following(WORKER, 'takes (\\d+) times as long'),
  (ordinal: string, domain: string, factor: string) => {
    fleet().do((each) => {
      const id = each.workerId(Number(ordinal), domain);
      each.harness.setWorker(id, { slowFactor: Number(factor) });
    });
  },
);

When(
  following(WORKER, 'loses (\\d+) % of its answers'),
  (ordinal: string, domain: string, percent: string) => {
    fleet().do((each) => {
      const id = each.workerId(Number(ordinal), domain);
      each.harness.setWorker(id, { loseAnswers: Number(percent) / 100 });
    });
  },
);

When(/^all workers lose (\d+) % of their answers$/, (percent: string) => {
  fleet().do(({ harness }) => {
    [...harness.workers.keys()].forEach((id) =>
      harness.setWorker(id, { loseAnswers: Number(percent) / 100 }),
    );
  });
});

When('all workers are sound again', () => {
  fleet().do(({ harness }) => {
    [...harness.workers.keys()].forEach((id) => harness.setWorker(id, {}));
  });
});

When(/^the workers of domain (\w+) die$/, (domain: string) => {
  fleet().do((each) => each.workersOf(domain).forEach((id) => each.harness.killWorker(id)));
});

When(/^domain (\w+) is cut off$/, (domain: string) => {
  fleet().do(({ harness }) => harness.cutDomain(domain));
});

When(/^domain (\w+) is back$/, (domain: string) => {
  fleet().do(({ harness }) => harness.healDomain(domain));
});

When(
  /^domain (\w+) is cut off for (\d+) (ms|seconds?)$/,
  (domain: string, value: string, unit: string) => {
    fleet().do(({ harness }) => {
      harness.cutDomain(domain);
      harness.timeline.after(toMs(value, unit), () => harness.healDomain(domain));
    });
  },
);
