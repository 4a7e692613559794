/**
 * One entry host: a real core with fakes around it. Actions never call back into a core directly, so
 * that a core sees one event at a time. While paused, events queue and are handled on resumption
 * before the first tick, as a process does whose sockets filled up meanwhile.
 */
import type { Core, CoreAction, CoreEvent } from '../core/events';
import { TICK_MS } from '../core/events';
import type { SlotMessage } from '../core/messages';
import type { CoreOptions } from '../core/options';
import type { RandomSource } from '../core/clock';
import type { JobAnswer } from '../core/job';
import type { FakeWorker } from './fakeWorker';
import type { HostName } from './fleet';
import type { Network } from './network';
import type { RunRecord } from './records';
import type { Timeline } from './timeline';
import { WorkerCalls } from './workerCalls';

/** What a core is created from. */
export interface CoreContext {
  readonly hostId: string;
  readonly incarnation: string;
  readonly domain: string;
  readonly options: CoreOptions;
  readonly random: RandomSource;
}

/** Creates the decision code of one host. */
export type CoreFactory = (context: CoreContext) => Core;

/** What a host needs of the run. */
export interface HostSite {
  readonly timeline: Timeline;
  readonly network: Network;
  readonly record: RunRecord;
  readonly workers: ReadonlyMap<string, FakeWorker>;
  readonly traceDecisions: boolean;
  readonly createCore: (host: HostName, incarnation: string) => Core;
  /** Hands messages to another host. */
  readonly send: (from: EntryHost, to: string, messages: readonly SlotMessage[]) => void;
  readonly onAnswer: (host: EntryHost, callId: number, answer: JobAnswer) => void;
}

/** One entry host. */
export class EntryHost {
  readonly id: string;

  readonly domain: string;

  phase: 'up' | 'paused' | 'down' = 'down';

  draining = false;

  /** Whether the load balancer sends calls here. */
  ready = false;

  /** Sequence number of the host as a member. */
  sequence = 0;

  readonly #site: HostSite;

  #life = 0;

  #core: Core | null = null;

  #calls: WorkerCalls | null = null;

  #inbox: CoreEvent[] = [];

  constructor(name: HostName, site: HostSite) {
    this.id = name.id;
    this.domain = name.domain;
    this.#site = site;
  }

  /** Lower-case letters and digits, as keys need. */
  get incarnation(): string {
    return `${this.id.replaceAll('-', '')}x${this.#life}`;
  }

  get core(): Core {
    if (this.#core === null) {
      throw new Error(`${this.id} is down`);
    }
    return this.#core;
  }

  /** Starts a new process of this host; its ticks begin after `offsetMs`. */
  boot(offsetMs: number): void {
    this.#life += 1;
    this.phase = 'up';
    this.draining = false;
    this.ready = true;
    this.#inbox = [];
    this.#core = this.#site.createCore(this, this.incarnation);
    this.#calls = this.#createCalls();
    const life = this.#life;
    this.#site.timeline.after(offsetMs, () => this.#tick(life));
  }

  kill(): void {
    this.phase = 'down';
    this.ready = false;
    this.#core = null;
    this.#calls = null;
    this.#inbox = [];
  }

  pause(): void {
    this.phase = 'paused';
  }

  resume(): void {
    this.phase = 'up';
    this.#inbox.splice(0).forEach((event) => this.deliver(event));
    this.deliver({ type: 'tick' });
  }

  /** Hands an event to the process that runs now; a host that is down drops it. */
  deliver(event: CoreEvent): void {
    if (this.phase === 'paused') {
      this.#inbox.push(event);
    } else if (this.phase === 'up') {
      const actions = this.core.handle(event, this.#site.timeline.nowMs());
      actions.forEach((action) => this.#perform(action));
    }
  }

  #tick(life: number): void {
    if (life !== this.#life || this.phase === 'down') {
      return;
    }
    if (this.phase === 'up') {
      this.deliver({ type: 'tick' });
    }
    this.#site.timeline.after(TICK_MS, () => this.#tick(life));
  }

  #createCalls(): WorkerCalls {
    const { timeline, network, record, workers } = this.#site;
    const { incarnation, domain } = this;
    return new WorkerCalls(
      { domain, timeline, network, record, workers },
      (attemptId, source, result) => {
        if (this.incarnation === incarnation) {
          this.deliver({ type: 'attemptResult', attemptId, source, result });
        }
      },
    );
  }

  #pollStatus(workerId: string, address: string): void {
    const { incarnation } = this;
    this.#calls?.status(address, (status) => {
      if (this.incarnation === incarnation) {
        this.deliver({ type: 'workerStatus', workerId, status });
      }
    });
  }

  #perform(action: CoreAction): void {
    switch (action.type) {
      case 'startTask':
        this.#calls?.start(action.worker, action.start);
        break;
      case 'revokeTask':
        this.#calls?.revoke(action.worker, action.attemptId);
        break;
      case 'inquireTask':
        this.#calls?.inquire(action.worker, action.attemptId, action.waitMs);
        break;
      case 'stopTask':
        this.#calls?.stop(action.worker, action.attemptId);
        break;
      case 'renewLeases':
        this.#calls?.renew(action.worker, action.attemptIds, action.leaseMs);
        break;
      case 'pollStatus':
        this.#pollStatus(action.workerId, action.address);
        break;
      default:
        this.#report(action);
    }
  }

  #report(action: CoreAction): void {
    const { record, timeline, traceDecisions } = this.#site;
    if (action.type === 'send') {
      this.#site.send(this, action.to, action.messages);
    } else if (action.type === 'answer') {
      this.#site.onAnswer(this, action.callId, action.answer);
    } else if (action.type === 'count') {
      record.countOfCore(action.name, action.value);
    } else if (action.type === 'decision' && traceDecisions) {
      record.decisions.push({ ...action.decision, hostId: this.id, atMs: timeline.nowMs() });
    }
  }
}
