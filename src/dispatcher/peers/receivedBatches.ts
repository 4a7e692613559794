/**
 * The batches that other hosts have sent to the cells of this host. A batch is withdrawn if its
 * submitter closes the call, omits it from the calls that it awaits, or has not been heard from for
 * too long.
 */
import { agedBatch, BatchReason, type BatchOutcome, type CellSummary } from '../../cells/messages';
import type { SubmitterContact } from '../../cells/submitterContact';
import type { LogFields } from '../../observe/observer';
import type { DispatchJournal } from '../journal';
import type { HostIdentity } from '../ownership/cellRecord';
import type { ServerCall } from '../transport/serverCall';
import { BatchContact, readingBefore } from './batchContact';
import { ageMs, readClocks, type HostClock, type SendTime } from './peerClocks';
import type { AwaitedCalls, BatchCall, BatchReply, StatusRequest } from './peerMessages';
import { SubmitterTracker } from './submitterTracker';

/** Handles the batches that other hosts send. */
export interface BatchHandler {
  /** Incarnation of this process. */
  readonly incarnation: string;
  /** Runs a batch; refuses it if this host does not own the cell. */
  run(call: BatchCall, contact: SubmitterContact): Promise<BatchOutcome>;
  withdraw(cell: string, batchId: string, reason: BatchReason): void;
  summary(cell: string): CellSummary | null;
}

const CHECK_PERIOD_MS = 100;
/** A longer gap between two checks means that the process was paused. */
const LATE_CHECK_MS = 3 * CHECK_PERIOD_MS;

/**
 * A batch that is older on arrival is refused, and an older status request does not count as a
 * heartbeat. A client may resubmit its job 1300 ms after it lost the submitter, and no run may be
 * in progress by then. The sum of this age, the 700 ms until the submitter counts as gone, the
 * period of that check and 50 ms to stop the runs is below that.
 */
const MAX_MESSAGE_AGE_MS = 400;

/**
 * How long a reply is kept for a submitter that resends the batch because its connection was lost.
 */
const REPLY_RETENTION_MS = 10_000;

interface RunningBatch {
  readonly call: BatchCall;
  readonly reply: Promise<BatchReply>;
  /** The submitter's latest call for the batch. */
  latest: ServerCall;
}

/** Runs the batches of other hosts, and ends those that nobody waits for. */
export class ReceivedBatches {
  readonly #handler: BatchHandler;

  readonly #clock: HostClock;

  readonly #journal: DispatchJournal;

  readonly #running = new Map<string, RunningBatch>();

  /** Replies of batches that ended within `REPLY_RETENTION_MS`, by batch id. */
  readonly #recentReplies = new Map<string, BatchReply>();

  readonly #submitters = new SubmitterTracker();

  readonly #timer: NodeJS.Timeout;

  #checkedAtMs: number;

  /** The last check was skipped; the next one is made even if it is late too. */
  #skippedLastCheck = false;

  constructor(handler: BatchHandler, clock: HostClock, journal: DispatchJournal) {
    this.#handler = handler;
    this.#clock = clock;
    this.#checkedAtMs = clock.nowMs();
    this.#journal = journal;
    this.#timer = setInterval(() => this.#checkSubmitters(), CHECK_PERIOD_MS);
  }

  close(): void {
    clearInterval(this.#timer);
  }

  /** Extends the timeouts after a pause of this process, during which it could read no messages. */
  resume(): void {
    this.#submitters.resume(this.#clock.nowMs());
  }

  /**
   * Handles what a status request says of its sender's batches. Returns the ids of those that are in
   * progress here.
   */
  receiveStatus({ from, awaited, sentAt }: StatusRequest): readonly string[] {
    this.#recordContact(from, awaited, this.#ageMs(sentAt));
    this.#withdrawNotAwaited(from.incarnation);
    return [...this.#running.values()]
      .filter(({ call }) => call.from.incarnation === from.incarnation)
      .map(({ call }) => call.batch.batchId);
  }

  /** Runs a batch and replies when it has ended. */
  async answer(call: BatchCall, request: ServerCall): Promise<void> {
    const age = this.#ageMs(call.sentAt);
    this.#recordContact(call.from, undefined, age);
    if (!this.#submitters.isAwaited(call)) {
      this.#logDecision('batch-not-awaited', call, {});
      request.reply(409, { detail: 'the sender does not wait for the batch any more' });
      return;
    }
    if (call.isRetry && call.ownerIncarnation !== this.#handler.incarnation) {
      request.reply(409, { detail: 'the batch was sent to an earlier process' });
      return;
    }
    const { batchId } = call.batch;
    const known = this.#recentReplies.get(batchId) ?? this.#refusalOf(call, age);
    const reply = known ?? (await this.#join(call, age, request));
    request.reply(200, reply);
  }

  /** Age of a message. Hosts of the previous version send no time; their messages have age 0. */
  #ageMs(sentAt: SendTime | undefined): number {
    return sentAt ? ageMs(sentAt, this.#handler.incarnation, readClocks(this.#clock)) : 0;
  }

  /**
   * Refuses a batch that is addressed to another process, or so old that its submitter may have
   * abandoned it. Returns null if the batch may run or is already running here.
   */
  #refusalOf({ batch, ownerIncarnation }: BatchCall, age: number): BatchReply | null {
    const { batchId, jobId } = batch;
    if (this.#running.has(batchId)) return null;
    if (ownerIncarnation !== undefined && ownerIncarnation !== this.#handler.incarnation) {
      const reason = BatchReason.notOwner;
      this.#journal.logDecision('batch-refused', { batchId, jobId, reason, ownerIncarnation });
      return { outcome: { type: 'refused', reason, retryAfterMs: 0 }, summary: null };
    }
    if (age <= MAX_MESSAGE_AGE_MS) return null;
    const reason = BatchReason.expired;
    const timing = { ageMs: Math.round(age), limitMs: MAX_MESSAGE_AGE_MS };
    this.#journal.logDecision('batch-refused', { batchId, jobId, reason, ...timing });
    const outcome: BatchOutcome = { type: 'refused', reason, retryAfterMs: 0 };
    return { outcome, summary: null, clocks: readClocks(this.#clock) };
  }

  /** Runs a batch, or joins the running one if it arrived before over another connection. */
  #join(call: BatchCall, age: number, request: ServerCall): Promise<BatchReply> {
    const { batchId } = call.batch;
    const known = this.#running.get(batchId);
    const running = known ?? { call, reply: this.#start(call, age), latest: request };
    running.latest = request;
    this.#running.set(batchId, running);
    request.onClose(() => {
      if (running.latest === request) this.#withdraw(running, BatchReason.withdrawn);
    });
    return running.reply;
  }

  /**
   * Runs a batch. A negative age counts as 0, as a wrong send time must not extend its deadline.
   */
  async #start(call: BatchCall, age: number): Promise<BatchReply> {
    const { cell } = call;
    const batch = agedBatch(call.batch, Math.max(0, age));
    const batchSentAt = readingBefore(readClocks(this.#clock), Math.max(0, age));
    const contact = new BatchContact(this.#clock, batchSentAt, () =>
      this.#submitters.lastStatusRequestAt(call.from),
    );
    const outcome = await this.#handler.run({ ...call, batch }, contact);
    const reply = { outcome, summary: this.#handler.summary(cell) };
    this.#running.delete(batch.batchId);
    this.#recentReplies.set(batch.batchId, reply);
    setTimeout(() => this.#recentReplies.delete(batch.batchId), REPLY_RETENTION_MS).unref();
    return reply;
  }

  /**
   * Records contact with a submitter. A delayed message does not count as a heartbeat, but the list
   * of awaited calls in it is still valid: a call that was abandoned stays abandoned.
   */
  #recordContact(from: HostIdentity, awaited: AwaitedCalls | undefined, age: number): void {
    const nowMs = this.#clock.nowMs();
    if (age <= MAX_MESSAGE_AGE_MS) this.#submitters.recordContact(from, nowMs);
    const sentAt = readingBefore(readClocks(this.#clock), Math.max(0, age));
    if (awaited) this.#submitters.updateAwaitedCalls(from, awaited, sentAt, nowMs);
  }

  /**
   * Withdraws the batches that a submitter no longer awaits. The close of their calls does not
   * arrive if the connection was lost without a reset.
   */
  #withdrawNotAwaited(incarnation: string): void {
    this.#running.forEach((running) => {
      if (running.call.from.incarnation !== incarnation) return;
      if (!this.#submitters.isAwaited(running.call))
        this.#withdraw(running, BatchReason.notAwaited);
    });
  }

  #checkSubmitters(): void {
    const nowMs = this.#clock.nowMs();
    const isLate = nowMs - this.#checkedAtMs > LATE_CHECK_MS;
    this.#checkedAtMs = nowMs;
    // Messages that arrived during the pause are in socket buffers and are read before the next
    // check.
    this.#skippedLastCheck = isLate && !this.#skippedLastCheck;
    if (this.#skippedLastCheck) return;
    this.#running.forEach((running) => {
      const { from } = running.call;
      if (!this.#submitters.isSilent(from, nowMs)) return;
      if (this.#submitters.markSilent(from)) {
        const { hostId, incarnation, address } = from;
        this.#journal.logDecision('submitter-silent', { from: hostId, incarnation, address });
      }
      this.#withdraw(running, BatchReason.unreachable);
    });
  }

  #withdraw({ call }: RunningBatch, reason: BatchReason): void {
    const { batchId } = call.batch;
    if (!this.#running.delete(batchId)) return;
    this.#logDecision('batch-withdrawn', call, { reason });
    this.#handler.withdraw(call.cell, batchId, reason);
  }

  #logDecision(decision: string, { from, cell, batch }: BatchCall, fields: LogFields): void {
    const { batchId, jobId } = batch;
    const { hostId, incarnation } = from;
    this.#journal.logDecision(decision, {
      batchId,
      jobId,
      cell,
      from: hostId,
      incarnation,
      ...fields,
    });
  }
}
