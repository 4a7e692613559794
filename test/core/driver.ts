/** Runs one real core in virtual time: sends it events and records the actions that they cause. */
import type { Configuration, TeamPolicy } from '../../src/configuration/policy';
import type { CoreAction, CoreEvent } from '../../src/core/events';
import { HostCore } from '../../src/core/hostCore';
import type { JobAnswer, JobSpec } from '../../src/core/job';
import {
  MemberState,
  type Member,
  type SlotMessage,
  type SlotRequest,
} from '../../src/core/messages';
import { DEFAULT_OPTIONS, type CoreOptions } from '../../src/core/options';
import type { AttemptResult, WorkerStatus } from '../../src/workers/workers';

export type ActionOf<T extends CoreAction['type']> = Extract<CoreAction, { type: T }>;

export function member(hostId: string, domain: string, state: MemberState = 'alive'): Member {
  return { hostId, incarnation: `${hostId}1`, domain, peerAddress: '', state, sequence: 0 };
}

function teamPolicy(name: string, share: number, urgency: number): TeamPolicy {
  const kinds = [
    { name: 'fast', urgency, idempotent: true, deadlineMs: 10_000 },
    { name: 'once', urgency, idempotent: false, deadlineMs: 10_000 },
  ];
  return {
    name,
    template: 't',
    share,
    quotaSlots: null,
    kinds: new Map(kinds.map((kind) => [kind.name, kind])),
  };
}

export const CONFIGURATION: Configuration = {
  generation: 1,
  publicationId: 'p1',
  teams: new Map([
    ['red', teamPolicy('red', 0.5, 5)],
    ['blue', teamPolicy('blue', 0.3, 0)],
  ]),
};

export function job(tasks: number, fields: Partial<JobSpec> = {}): JobSpec {
  return {
    team: 'red',
    kind: 'fast',
    deadlineMs: 10_000,
    resources: { cores: 1, memoryMb: 100, accelerators: 0 },
    tasks: Array.from({ length: tasks }, (_, index) => ({ id: `t${index}`, payload: index })),
    ...fields,
  };
}

export const RESOURCES = { cores: 1, memoryMb: 1, accelerators: 0 };

/** A slot request, as another host would send it. */
export function request(requestId: number, team: string, count: number): SlotRequest {
  return {
    type: 'slotRequest',
    requestId,
    team,
    kind: 'fast',
    count,
    resources: RESOURCES,
    deadlineMs: 60_000,
    jobTasks: count,
    begun: false,
    waitedMs: 0,
  };
}

export function status(
  id: string,
  slots: number,
  fields: Partial<WorkerStatus> = {},
): WorkerStatus {
  return {
    id,
    incarnation: `${id}-1`,
    domain: 'd1',
    rack: 'r1',
    slots,
    cores: 60,
    memoryMb: 100_000,
    accelerators: 0,
    connections: 60,
    running: 0,
    reportAgeMs: 0,
    ...fields,
  };
}

/** One core with its clock and the actions it has caused so far. */
export class Driver {
  readonly core: HostCore;

  readonly hostId: string;

  nowMs = 1000;

  actions: CoreAction[] = [];

  /** Answers to status polls, by worker. Polls of a worker without one stay unanswered. */
  readonly statuses = new Map<string, WorkerStatus>();

  #callId = 0;

  constructor(hostId = 'a1', options: Partial<CoreOptions> = {}) {
    this.hostId = hostId;
    this.core = new HostCore({
      hostId,
      incarnation: `${hostId}1`,
      secret: 'secret',
      domain: 'd1',
      options: { ...DEFAULT_OPTIONS, ...options },
      random: { next: () => 0.5 },
      chooseScheduler: (domain, members) =>
        members.find((m) => m.domain === domain && m.state === 'alive') ?? null,
    });
  }

  /**
   * A host that is the scheduler of its domain and knows workers w0, w1 and so on with these slots.
   */
  static ready(slots: readonly number[], options: Partial<CoreOptions> = {}): Driver {
    const driver = new Driver('a1', {
      guards: { ...DEFAULT_OPTIONS.guards, slowStart: false },
      ...options,
    });
    driver.send({ type: 'configuration', configuration: CONFIGURATION });
    const members = ['a1', 'b1', 'c1'].map((id) => member(id, 'd1'));
    driver.send({ type: 'members', members });
    driver.setWorkers(slots.map((_, index) => `w${index}`));
    slots.forEach((count, index) => {
      const id = `w${index}`;
      driver.statuses.set(id, status(id, count));
      driver.send({ type: 'workerStatus', workerId: id, status: status(id, count) });
    });
    driver.advance(100);
    driver.actions = [];
    return driver;
  }

  setWorkers(ids: readonly string[], leaving: readonly string[] = []): void {
    this.send({
      type: 'workerList',
      entries: ids.map((id) => ({
        id,
        domain: 'd1',
        rack: 'r1',
        address: `${id}:1`,
        state: leaving.includes(id) ? 'leaving' : 'live',
      })),
    });
  }

  send(event: CoreEvent): readonly CoreAction[] {
    const caused = this.core.handle(event, this.nowMs);
    this.actions.push(...caused);
    caused.forEach((action) => {
      const answer = action.type === 'pollStatus' ? this.statuses.get(action.workerId) : undefined;
      if (answer) this.send({ type: 'workerStatus', workerId: answer.id, status: answer });
    });
    return caused;
  }

  /** Advances the clock, with a tick every 10 ms. */
  advance(ms: number): void {
    const endMs = this.nowMs + ms;
    while (this.nowMs < endMs) {
      this.nowMs = Math.min(endMs, this.nowMs + 10);
      this.send({ type: 'tick' });
    }
  }

  key(): string {
    return this.core.issueKeys(1, this.nowMs)[0] ?? '';
  }

  submit(spec: JobSpec, key: string | null = null): number {
    this.#callId += 1;
    this.send({ type: 'submit', callId: this.#callId, key, job: spec });
    return this.#callId;
  }

  cancel(key: string): number {
    this.#callId += 1;
    this.send({ type: 'cancel', callId: this.#callId, key });
    return this.#callId;
  }

  receive(from: string, ...messages: SlotMessage[]): readonly CoreAction[] {
    const origin = { hostId: from, incarnation: `${from}1` };
    return this.send({ type: 'peerMessages', from: origin, messages });
  }

  result(attemptId: string, result: AttemptResult, source: 'start' | 'revoke' = 'start'): void {
    this.send({ type: 'attemptResult', attemptId, source, result });
  }

  succeed(attemptId: string, runTimeMs = 100): void {
    this.result(attemptId, { state: 'succeeded', result: attemptId, runTimeMs });
  }

  all<T extends CoreAction['type']>(type: T): readonly ActionOf<T>[] {
    return this.actions.filter((action): action is ActionOf<T> => action.type === type);
  }

  starts(): readonly ActionOf<'startTask'>[] {
    return this.all('startTask');
  }

  answers(callId: number): readonly JobAnswer[] {
    return this.all('answer')
      .filter((action) => action.callId === callId)
      .map((action) => action.answer);
  }

  counted(name: string): number {
    return this.all('count')
      .filter((action) => action.name === name)
      .reduce((sum, action) => sum + action.value, 0);
  }

  sent<T extends SlotMessage['type']>(type: T): readonly Extract<SlotMessage, { type: T }>[] {
    return this.all('send')
      .flatMap((action) => action.messages)
      .filter((m): m is Extract<SlotMessage, { type: T }> => m.type === type);
  }
}
