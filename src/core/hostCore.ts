/**
 * Decision code of one entry host: a submitter for its own submissions, a scheduler that is active
 * while the host is the scheduler of its domain, and a guard against acting on state that became
 * stale while the process was paused.
 */
import type { PeerOrigin } from '../peers/transport';
import type { RandomSource } from './clock';
import type { Core, CoreAction, CoreEvent } from './events';
import type { SlotMessage } from './messages';
import type { CoreOptions } from './options';
import { Outbox } from './outbox';
import { Roles, type SchedulerSelector } from './roles';
import { Scheduler } from './scheduler';
import { KeyIssuer } from './submissionKey';
import { Submitter } from './submitter';
import type { HostView } from './views';

/** Identity and dependencies of a host's core. */
export interface HostCoreParts {
  readonly hostId: string;
  /** Differs for each start of the process. Consists of lower-case letters, digits and hyphens. */
  readonly incarnation: string;
  /** Secret that signs submission keys. Kept in memory only. */
  readonly secret: string;
  readonly domain: string;
  readonly options: CoreOptions;
  readonly random: RandomSource;
  readonly chooseScheduler: SchedulerSelector;
}

/** Decision code of one host; see `Core`. */
export class HostCore implements Core {
  readonly #parts: HostCoreParts;

  readonly #outbox: Outbox;

  readonly #issuer: KeyIssuer;

  readonly #submitter: Submitter;

  readonly #scheduler: Scheduler;

  #roles = Roles.empty();

  #lastEventMs: number | null = null;

  constructor(parts: HostCoreParts) {
    const { hostId, incarnation, secret, domain, options, random } = parts;
    this.#parts = parts;
    this.#outbox = new Outbox(hostId);
    this.#issuer = new KeyIssuer(hostId, incarnation, secret, options.keyLifetimeMs);
    this.#submitter = new Submitter({
      domain,
      options,
      outbox: this.#outbox,
      issuer: this.#issuer,
    });
    this.#scheduler = new Scheduler({ domain, options, random, outbox: this.#outbox });
  }

  handle(event: CoreEvent, nowMs: number): readonly CoreAction[] {
    this.#detectPause(nowMs);
    this.#dispatch(event, nowMs);
    let local = this.#outbox.takeLocal();
    const self = { hostId: this.#parts.hostId, incarnation: this.#parts.incarnation };
    while (local.length > 0) {
      this.#receiveAll(self, local, nowMs);
      local = this.#outbox.takeLocal();
    }
    return this.#outbox.takeAll();
  }

  issueKeys(count: number, nowMs: number): readonly string[] {
    return Array.from({ length: count }, () => this.#issuer.issue(nowMs));
  }

  pending(): number {
    return this.#submitter.pending();
  }

  inspect(): HostView {
    return { submitter: this.#submitter.inspect(), scheduler: this.#scheduler.inspect() };
  }

  /** Detects pauses of the process: ticks come every 10 ms, so a long gap between events is one. */
  #detectPause(nowMs: number): void {
    const { guards, pauseGapMs } = this.#parts.options;
    const gapMs = nowMs - (this.#lastEventMs ?? nowMs);
    this.#lastEventMs = nowMs;
    if (!guards.pauseGuard || gapMs <= pauseGapMs) return;
    this.#outbox.decide('resume', 'pause-detected', { gapMs });
    this.#scheduler.suspend();
    this.#submitter.resume(nowMs);
  }

  #dispatch(event: CoreEvent, nowMs: number): void {
    switch (event.type) {
      case 'submit':
        this.#submitter.submit(event, nowMs);
        break;
      case 'cancel':
        this.#submitter.cancel(event.callId, event.key, nowMs);
        break;
      case 'await':
        this.#submitter.await(event.callId, event.key);
        break;
      case 'attemptResult':
        this.#submitter.attemptResult(event, nowMs);
        break;
      case 'peerMessages':
        this.#receiveAll(event.from, event.messages, nowMs);
        break;
      case 'members':
        this.#setMembers(event, nowMs);
        break;
      case 'configuration':
        this.#submitter.configure(event.configuration);
        this.#scheduler.configure(event.configuration, nowMs);
        break;
      case 'workerList':
        this.#scheduler.setWorkerList(event.entries, nowMs);
        break;
      case 'workerStatus':
        this.#scheduler.workerStatus(event.workerId, event.status, nowMs);
        break;
      case 'confirmed':
        this.#scheduler.confirm(nowMs);
        break;
      case 'drain':
        this.#submitter.drain();
        break;
      default:
        this.#submitter.tick(nowMs);
        this.#scheduler.tick(nowMs);
    }
  }

  #setMembers(event: Extract<CoreEvent, { type: 'members' }>, nowMs: number): void {
    const { domain, hostId, chooseScheduler } = this.#parts;
    this.#roles = Roles.from(event.members, chooseScheduler);
    this.#scheduler.setHosts(this.#roles.aliveHosts());
    this.#scheduler.setActive(this.#roles.schedulerOf(domain) === hostId, nowMs);
    this.#submitter.setRoles(this.#roles, nowMs);
  }

  #receiveAll(from: PeerOrigin, messages: readonly SlotMessage[], nowMs: number): void {
    messages.forEach((message) => this.#receive(from.hostId, message, nowMs));
  }

  #receive(from: string, message: SlotMessage, nowMs: number): void {
    switch (message.type) {
      case 'slotRequest':
        this.#scheduler.request(from, message, nowMs);
        break;
      case 'slotCancel':
        this.#scheduler.cancel(from, message.requestId, message.count);
        break;
      case 'slotRelease':
        this.#scheduler.release(from, message, nowMs);
        break;
      case 'slotClaims':
        this.#scheduler.handleClaims(from, message, nowMs);
        break;
      default:
        this.#submitter.receive(from, message, nowMs);
    }
  }
}
