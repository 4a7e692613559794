/** Drives one real core as a submitter; the scheduler and the workers are made up. */
import type { HostCore } from '../core/hostCore';
import type { CoreAction, CoreEvent } from '../core/events';
import type { SlotMessage } from '../core/messages';
import {
  createFleetCore,
  DEADLINE_MS,
  IGNORE_ACTIONS,
  RESOURCES,
  RUN_MS,
  type ActionObserver,
} from './slopesCores';
import {
  fleetConfiguration,
  fleetMembers,
  INCARNATION,
  KIND,
  OWN_DOMAIN,
  teamName,
} from './slopesFleet';

/** A core that submits; a made-up scheduler grants each request at once, or never. */
export class SubmitterDrive {
  readonly core: HostCore;

  nowMs = 1000;

  answers = 0;

  /** Whether the scheduler grants; without it, tasks wait. */
  grants = true;

  readonly #onAction: ActionObserver;

  #callId = 0;

  #grantId = 0;

  /** Events that the actions lead to, in order; recursion would be as deep as a job is long. */
  #events: CoreEvent[] = [];

  constructor(hosts: number, onAction = IGNORE_ACTIONS) {
    this.#onAction = onAction;
    const members = fleetMembers(hosts, 1);
    this.core = createFleetCore(members[1]?.hostId ?? '', members[0]?.hostId ?? '');
    this.handle({ type: 'configuration', configuration: fleetConfiguration() });
    this.handle({ type: 'members', members });
  }

  /** Submits a job and runs it to its answer, if there are grants. */
  submit(tasks: number): void {
    this.#callId += 1;
    const callId = this.#callId;
    const specs = Array.from({ length: tasks }, (_, index) => ({
      id: String(index),
      payload: { runMs: RUN_MS, job: callId, task: index },
      declaredMs: RUN_MS,
    }));
    const job = {
      team: teamName(callId),
      kind: KIND,
      deadlineMs: DEADLINE_MS,
      resources: RESOURCES,
      tasks: specs,
    };
    this.nowMs += 0.03;
    this.handle({ type: 'submit', callId, key: null, job });
  }

  handle(event: CoreEvent): void {
    this.#events.push(event);
    for (let next = this.#events.pop(); next; next = this.#events.pop()) {
      this.core.handle(next, this.nowMs).forEach((action) => this.#take(action));
    }
  }

  #take(action: CoreAction): void {
    this.#onAction(action);
    if (action.type === 'answer') this.answers += 1;
    if (action.type === 'send' && this.grants) {
      action.messages.forEach((message) => this.#grant(action.to, message));
    }
    if (action.type === 'startTask') {
      const { attemptId, payload } = action.start;
      const result = { state: 'succeeded', result: payload, runTimeMs: RUN_MS } as const;
      this.#events.push({ type: 'attemptResult', attemptId, source: 'start', result });
    }
  }

  #grant(scheduler: string, message: SlotMessage): void {
    if (message.type !== 'slotRequest') return;
    const { requestId, count } = message;
    const worker = { id: `${OWN_DOMAIN}-w1`, address: '10.40.0.1:8080', incarnation: INCARNATION };
    const grants = Array.from({ length: count }, () => {
      this.#grantId += 1;
      return { grantId: this.#grantId, worker };
    });
    const from = { hostId: scheduler, incarnation: INCARNATION };
    const grant: SlotMessage = { type: 'slotGrant', requestId, grants };
    this.#events.push({ type: 'peerMessages', from, messages: [grant] });
  }
}
