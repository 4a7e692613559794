/**
 * Drives real cores, one per entry host, in virtual time with small fakes at the interfaces. The
 * same options and the same calls always give the same run. It models delays, slots and faults, but
 * neither CPU nor bandwidth nor connection limits.
 */
import type { Configuration } from '../configuration/policy';
import type { SlotMessage } from '../core/messages';
import type { CoreOptions } from '../core/options';
import type { HostListEntry } from '../workers/hostList';
import { Callers } from './callers';
import type { CoreFactory } from './entryHost';
import { EntryHost } from './entryHost';
import { FakeWorker } from './fakeWorker';
import type { FleetShape } from './fleet';
import { hostNames, workerEntries } from './fleet';
import { MemberViews } from './memberViews';
import { Network } from './network';
import { SeededRandom } from './random';
import type { JobPlan } from './records';
import { RunRecord } from './records';
import { Timeline } from './timeline';
import type { WorkerBehaviour } from './workerBehaviour';
import { HEALTHY } from './workerBehaviour';

/** A run. */
export interface HarnessOptions {
  readonly seed: number;
  readonly shape: FleetShape;
  readonly createCore: CoreFactory;
  readonly coreOptions: CoreOptions;
  readonly configuration: Configuration;
  readonly traceDecisions?: boolean;
}

const HOST_LIST_PERIOD_MS = 1000;
/** From a pause to the balancer's taking the host out of rotation. */
const BALANCER_DELAY_MS = 1000;
/** From a return to the first membership round trip. */
const CONFIRM_MS = 50;
const SELF_DELIVERY_MS = 0.01;

/** A fleet in virtual time. */
export class Harness {
  readonly record = new RunRecord();

  readonly timeline = new Timeline();

  readonly callers: Callers;

  readonly hosts: readonly EntryHost[];

  readonly workers: ReadonlyMap<string, FakeWorker>;

  readonly #options: HarnessOptions;

  readonly #network: Network;

  readonly #views: MemberViews;

  readonly #random: SeededRandom;

  #configuration: Configuration;

  /** Last sender of a load summary, by domain. */
  readonly #schedulers = new Map<string, string>();

  constructor(options: HarnessOptions) {
    this.#options = options;
    this.#configuration = options.configuration;
    this.#random = new SeededRandom(options.seed, 'harness');
    this.#network = new Network(options.shape, this.timeline);
    const workers = this.#createWorkers();
    this.workers = new Map(workers.map((worker) => [worker.entry.id, worker]));
    this.hosts = this.#createHosts(
      new Map(workers.map((worker) => [worker.entry.address, worker])),
    );
    this.#views = new MemberViews(this.hosts, this.#network, this.timeline);
    this.callers = new Callers({
      shape: options.shape,
      timeline: this.timeline,
      network: this.#network,
      record: this.record,
      hosts: this.hosts,
    });
    this.hosts.forEach((host) => host.boot(this.#random.between(0, 10)));
    this.hosts.forEach((host) => this.#welcome(host));
    this.#pollHostList();
  }

  get nowMs(): number {
    return this.timeline.nowMs();
  }

  runUntil(untilMs: number): void {
    this.timeline.runUntil(untilMs);
  }

  /** Submits a job now; null if no host takes calls. */
  submit(plan: JobPlan): number | null {
    return this.callers.submit(plan);
  }

  host(id: string): EntryHost {
    const host = this.hosts.find((candidate) => candidate.id === id);
    if (host === undefined) {
      throw new Error(`no host ${id}`);
    }
    return host;
  }

  worker(id: string): FakeWorker {
    const worker = this.workers.get(id);
    if (worker === undefined) {
      throw new Error(`no worker ${id}`);
    }
    return worker;
  }

  /** The host that acts as scheduler of a domain, or any host of it if none has been seen. */
  schedulerOf(domain: string): string {
    const any = this.hosts.find((host) => host.domain === domain)?.id ?? '';
    return this.#schedulers.get(domain) ?? any;
  }

  killHost(id: string): void {
    const host = this.host(id);
    if (host.phase !== 'down') {
      this.#note('killHost', id);
      host.kill();
      this.callers.hostGone(id);
      this.#views.changed();
    }
  }

  /** Starts a new process on a host that is down. */
  startHost(id: string): void {
    const host = this.host(id);
    if (host.phase === 'down') {
      this.#note('startHost', id);
      host.boot(this.#random.between(0, 10));
      this.#welcome(host);
      this.#views.changed();
    }
  }

  pauseHost(id: string): void {
    const host = this.host(id);
    if (host.phase === 'up') {
      this.#note('pauseHost', id);
      host.pause();
      this.#views.changed();
      this.timeline.after(BALANCER_DELAY_MS, () => {
        host.ready = host.ready && host.phase !== 'paused';
      });
    }
  }

  resumeHost(id: string): void {
    const host = this.host(id);
    if (host.phase === 'paused') {
      this.#note('resumeHost', id);
      host.sequence += 1;
      host.resume();
      host.ready = !host.draining;
      this.#views.changed();
      this.#confirmSoon(host);
    }
  }

  /** Tells a host to take no new work; the balancer stops sending calls at once. */
  drainHost(id: string): void {
    const host = this.host(id);
    if (host.phase === 'up' && !host.draining) {
      this.#note('drainHost', id);
      host.draining = true;
      host.ready = false;
      host.deliver({ type: 'drain' });
      this.#views.changed();
    }
  }

  cutDomain(domain: string): void {
    this.#note('cutDomain', domain);
    this.#network.cut(domain);
    this.callers.pathsCut();
    this.#views.changed();
  }

  healDomain(domain: string): void {
    this.#note('healDomain', domain);
    this.#network.heal(domain);
    this.#views.changed();
  }

  /** Sets faults of a worker that is up; those not named are switched off. */
  setWorker(id: string, behaviour: Partial<WorkerBehaviour>): void {
    this.#note(`worker ${Object.keys(behaviour).join(' ') || 'healthy'}`, id);
    this.worker(id).behaviour = { ...HEALTHY, ...behaviour };
  }

  /** `silent`: the machine is gone and nothing answers any more. */
  killWorker(id: string, phase: 'dead' | 'silent' = 'dead'): void {
    this.#note(`killWorker ${phase}`, id);
    this.worker(id).die(phase);
  }

  restartWorker(id: string): void {
    this.#note('restartWorker', id);
    this.worker(id).restart();
  }

  freezeWorker(id: string): void {
    this.#note('freezeWorker', id);
    this.worker(id).freeze();
  }

  thawWorker(id: string): void {
    this.#note('thawWorker', id);
    this.worker(id).thaw();
  }

  /** The worker refuses new work, and the host list shows it as leaving from its next change on. */
  setLeaving(id: string, leaving = true): void {
    this.#note(leaving ? 'leaving' : 'staying', id);
    this.worker(id).leaving = leaving;
  }

  configure(configuration: Configuration): void {
    this.#configuration = configuration;
    this.hosts.forEach((host) => host.deliver({ type: 'configuration', configuration }));
  }

  #createWorkers(): readonly FakeWorker[] {
    const { shape } = this.#options;
    return workerEntries(shape).map(
      (entry) =>
        new FakeWorker(entry, shape, this.timeline, this.record, this.#random.stream(entry.id)),
    );
  }

  #createHosts(workers: ReadonlyMap<string, FakeWorker>): readonly EntryHost[] {
    const { createCore, coreOptions, shape, traceDecisions = false } = this.#options;
    return hostNames(shape).map(
      (name) =>
        new EntryHost(name, {
          timeline: this.timeline,
          network: this.#network,
          record: this.record,
          workers,
          traceDecisions,
          createCore: (host, incarnation) =>
            createCore({
              hostId: host.id,
              incarnation,
              domain: host.domain,
              options: coreOptions,
              random: this.#random.stream(incarnation),
            }),
          send: (from, to, messages) => this.#send(from, to, messages),
          onAnswer: (host, callId, answer) => this.callers.onAnswer(host, callId, answer),
        }),
    );
  }

  /** Gives a new process what its services would learn first. */
  #welcome(host: EntryHost): void {
    host.deliver({ type: 'configuration', configuration: this.#configuration });
    this.#views.introduce(host);
    host.deliver({ type: 'workerList', entries: this.#listOf(host.domain) });
    this.#confirmSoon(host);
  }

  #confirmSoon(host: EntryHost): void {
    const { incarnation } = host;
    this.timeline.after(CONFIRM_MS, () => {
      if (host.incarnation !== incarnation || host.phase !== 'up') {
        return;
      }
      if (this.#views.canConfirm(host)) {
        host.deliver({ type: 'confirmed' });
      } else {
        this.#confirmSoon(host);
      }
    });
  }

  #listOf(domain: string): readonly HostListEntry[] {
    return [...this.workers.values()]
      .filter((worker) => worker.entry.domain === domain)
      .map(({ entry, leaving }) => ({ ...entry, state: leaving ? 'leaving' : 'live' }));
  }

  #pollHostList(): void {
    let told = JSON.stringify(this.#options.shape.domains.map((domain) => this.#listOf(domain)));
    const poll = (): void => {
      const lists = JSON.stringify(
        this.#options.shape.domains.map((domain) => this.#listOf(domain)),
      );
      if (lists !== told) {
        told = lists;
        this.hosts.forEach((host) =>
          host.deliver({ type: 'workerList', entries: this.#listOf(host.domain) }),
        );
      }
      this.timeline.after(HOST_LIST_PERIOD_MS, poll);
    };
    this.timeline.after(HOST_LIST_PERIOD_MS, poll);
  }

  #send(from: EntryHost, to: string, messages: readonly SlotMessage[]): void {
    const target = this.host(to);
    const origin = { hostId: from.id, incarnation: from.incarnation };
    const deliver = (): void => target.deliver({ type: 'peerMessages', from: origin, messages });
    if (target === from) {
      this.timeline.after(SELF_DELIVERY_MS, deliver);
      return;
    }
    this.record.count('peerBatches');
    this.record.count('peerMessages', messages.length);
    messages.forEach((message) => {
      if (message.type === 'loadSummary') {
        this.#schedulers.set(message.domain, from.id);
      }
    });
    this.#network.deliverOrDrop(from.domain, target.domain, deliver);
  }

  #note(name: string, target: string): void {
    this.record.faults.push({ atMs: this.nowMs, name, target });
  }
}
