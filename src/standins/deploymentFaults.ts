/**
 * Random faults against a deployment, from a seed. Each part of the system has a lane of its own in
 * which one fault follows the other, so that faults of different parts coincide.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import type { SeededRandom } from '../bench/random';
import type { Deployment } from './deployment';
import type { WorkerServer } from './workerServer';

interface Range {
  readonly low: number;
  readonly high: number;
}

type Fault = (random: SeededRandom) => Promise<void>;

interface Lane {
  readonly name: string;
  readonly gapMs: Range;
  readonly faults: Readonly<Record<string, Fault>>;
}

const WORKER_LANES = 3;
/** Changes of the store that a roll-back loses at most. */
const MAX_LOST_CHANGES = 4;
const LOST_ANSWERS = 8;
const SLOW_FACTOR = 10;
const DELAYED_ANSWERS_MS = 400;
const SLOW_STORE_MS = 300;
const SHORT: Range = { low: 200, high: 2500 };
const PAUSE: Range = { low: 300, high: 1800 };

function pause(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

function between(random: SeededRandom, { low, high }: Range): number {
  return random.integer(low, high);
}

/** A fault that is switched on for a while. */
function lasting(begin: () => unknown, end: () => unknown): Fault {
  return async (random) => {
    await begin();
    await pause(between(random, SHORT));
    await end();
  };
}

/** Keeps the whole process from running, and with it every host and every stand-in. */
async function pauseProcess(random: SeededRandom): Promise<void> {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, between(random, PAUSE));
}

/** Runs faults until it is stopped; then all of them have ended. */
export class DeploymentFaults {
  /** Number of faults by lane and name. */
  readonly counts: Record<string, number> = {};

  readonly #deployment: Deployment;

  readonly #random: SeededRandom;

  readonly #stop = new AbortController();

  #lanes: Promise<unknown> = Promise.resolve();

  constructor(deployment: Deployment, random: SeededRandom) {
    this.#deployment = deployment;
    this.#random = random;
  }

  start(): void {
    const lanes = [
      this.#hostLane(),
      this.#networkLane(),
      this.#storeLane(),
      this.#hostListLane(),
      { name: 'process', gapMs: { low: 8000, high: 15_000 }, faults: { pause: pauseProcess } },
      ...this.#workerLanes(),
    ];
    this.#lanes = Promise.all(
      lanes.map((lane, index) => this.#run(lane, this.#random.stream(`${lane.name} ${index}`))),
    );
  }

  /** Resolves when the faults in progress have ended. */
  async stop(): Promise<void> {
    this.#stop.abort();
    await this.#lanes;
  }

  async #run(lane: Lane, random: SeededRandom): Promise<void> {
    await this.#gap(between(random, lane.gapMs));
    if (this.#stop.signal.aborted) return;
    const [name, fault] = random.pick(Object.entries(lane.faults));
    const label = `${lane.name} ${name}`;
    this.counts[label] = (this.counts[label] ?? 0) + 1;
    await fault(random);
    await this.#run(lane, random);
  }

  /** Waits between two faults; the stop ends it. */
  async #gap(delayMs: number): Promise<void> {
    const { signal } = this.#stop;
    await sleep(delayMs, undefined, { signal }).catch(() => undefined);
  }

  #hostLane(): Lane {
    const deployment = this.#deployment;
    const replace =
      (end: (index: number) => Promise<void>): Fault =>
      async (random) => {
        const index = random.integer(0, deployment.hosts.length - 1);
        await end(index);
        await pause(between(random, SHORT));
        await deployment.startHost(index);
      };
    return {
      name: 'host',
      gapMs: { low: 1000, high: 4000 },
      faults: {
        kill: replace((index) => deployment.killHost(index)),
        drain: replace((index) => deployment.drainHost(index)),
      },
    };
  }

  #networkLane(): Lane {
    const { partition, hosts, shape } = this.#deployment;
    const heal = (): void => partition.heal();
    const addresses = hosts.map(({ settings }) => settings.listen.peerAddress);
    return {
      name: 'network',
      gapMs: { low: 1000, high: 5000 },
      faults: {
        domain: (random) =>
          lasting(() => this.#deployment.cutDomain(random.pick(shape.domains)), heal)(random),
        host: (random) => lasting(() => partition.isolate([random.pick(addresses)]), heal)(random),
        split: (random) =>
          lasting(
            () => partition.isolate(addresses.filter(() => random.next() < 0.5)),
            heal,
          )(random),
      },
    };
  }

  #storeLane(): Lane {
    const { store } = this.#deployment;
    const { faults, state } = store;
    const mend = (): Promise<void> => store.mend();
    return {
      name: 'store',
      gapMs: { low: 1000, high: 4000 },
      faults: {
        cut: lasting(() => store.cut(), mend),
        freeze: lasting(() => faults.freeze(), mend),
        refuse: lasting(() => faults.refuse(), mend),
        slow: lasting(() => faults.delay(SLOW_STORE_MS), mend),
        loseAnswers: lasting(() => faults.loseAnswers(LOST_ANSWERS), mend),
        rollBack: async (random) => {
          store.cut();
          state.rollBack(state.revision - random.integer(1, MAX_LOST_CHANGES));
          await store.mend();
        },
      },
    };
  }

  #hostListLane(): Lane {
    const { hostList } = this.#deployment;
    const outage = (how: 'errors' | 'silent'): Fault =>
      lasting(
        () => Object.assign(hostList, { outage: how }),
        () => Object.assign(hostList, { outage: 'none' }),
      );
    return {
      name: 'hostList',
      gapMs: { low: 3000, high: 8000 },
      faults: { errors: outage('errors'), silent: outage('silent') },
    };
  }

  /** Each lane has its own workers. */
  #workerLanes(): readonly Lane[] {
    return Array.from({ length: WORKER_LANES }, (_, lane) => {
      const workers = this.#deployment.workers.filter((__, index) => index % WORKER_LANES === lane);
      return this.#workerLane(workers);
    });
  }

  #workerLane(workers: readonly WorkerServer[]): Lane {
    const on = (begin: (worker: WorkerServer) => unknown, end: (worker: WorkerServer) => unknown) =>
      ((random) => {
        const worker = random.pick(workers);
        return lasting(
          () => begin(worker),
          () => end(worker),
        )(random);
      }) satisfies Fault;
    const announce = (worker: WorkerServer, leaving: boolean): void => {
      Object.assign(worker.model.faults, { leaving });
      this.#deployment.showHostList();
    };
    const network = (faults: Partial<WorkerServer['faults']>, after: typeof faults): Fault =>
      on(
        (worker) => Object.assign(worker.faults, faults),
        (worker) => Object.assign(worker.faults, after),
      );
    const tasks = (faults: Partial<WorkerServer['model']['faults']>, after: typeof faults): Fault =>
      on(
        ({ model }) => Object.assign(model.faults, faults),
        ({ model }) => Object.assign(model.faults, after),
      );
    return {
      name: 'worker',
      gapMs: { low: 300, high: 2000 },
      faults: {
        die: on(
          (worker) => worker.die(),
          (worker) => worker.open(),
        ),
        freeze: on(
          ({ model }) => model.freeze(),
          ({ model }) => model.thaw(),
        ),
        cut: on(
          (worker) => worker.cut(),
          (worker) => Object.assign(worker.faults, { cut: false }),
        ),
        leave: on(
          (worker) => announce(worker, true),
          (worker) => announce(worker, false),
        ),
        loseAnswers: network({ loseAnswers: true }, { loseAnswers: false }),
        delayAnswers: network({ delayAnswersMs: DELAYED_ANSWERS_MS }, { delayAnswersMs: 0 }),
        failAll: tasks({ failAll: true }, { failAll: false }),
        refuseAll: tasks({ refuseAll: true }, { refuseAll: false }),
        slow: tasks({ slowFactor: SLOW_FACTOR }, { slowFactor: 1 }),
      },
    };
  }
}
