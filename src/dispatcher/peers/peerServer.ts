/**
 * HTTP server for the peer interface. A batch call stays open until the batch has ended. The batch
 * is withdrawn if its submitter closes the call, omits it from the calls that it awaits, or has not
 * been heard from for too long.
 */
import type { Result } from 'ts-results';
import {
  agedBatch,
  BatchReason,
  type BatchOutcome,
  type CellRoom,
  type CellSummary,
  type TaskBatch,
} from '../../cells/messages';
import type { SubmitterContact } from '../../cells/submitterContact';
import type { LogFields } from '../../observe/observer';
import { BatchContact, readingBefore } from './batchContact';
import type { HostIdentity } from '../ownership/cellRecord';
import type { DispatchJournal } from '../journal';
import { ageMs, readClocks, type HostClock, type SendTime } from './peerClocks';
import {
  parseBody,
  PeerPath,
  type AwaitedCalls,
  type BatchCall,
  type BatchReply,
  type HostStatus,
  type RoomRequest,
  type RunsReply,
  type RunsRequest,
  type StatusRequest,
} from './peerMessages';
import {
  readPreviewRequest,
  type PlacementPreview,
  type PreviewRequest,
} from '../jobs/placementPreview';
import type { QueueConfiguration } from '../jobs/queueTable';
import { SubmitterTracker } from './submitterTracker';
import { TransferSlots } from './transferSlots';
import { JsonServer } from '../transport/jsonServer';
import type { ServerCall } from '../transport/serverCall';

/** Handles the calls that a peer server receives. */
export interface PeerHandler {
  /** Incarnation of this process. */
  readonly incarnation: string;
  status(statusRequest: StatusRequest): HostStatus;
  /** Runs a batch; refuses it if this host does not own the cell. */
  run(call: BatchCall, contact: SubmitterContact): Promise<BatchOutcome>;
  withdraw(cell: string, batchId: string, reason: BatchReason): void;
  summary(cell: string): CellSummary | null;
  /** Whether runs of the job may be in progress in a cell of this host. */
  runsOf(cell: string, jobId: string): RunsReply;
  /** How many tasks of a batch a cell of this host could end in time; null for other cells. */
  roomIn(cell: string, batch: TaskBatch, namesWorker: boolean): CellRoom | null;
  /** Where a job would go now; the error says what is wrong with the request. */
  preview(request: PreviewRequest): Promise<Result<PlacementPreview, string>>;
  configuration(): QueueConfiguration | null;
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

/** Configurations that are sent at a time, as they share the link with all other calls. */
const CONFIGURATION_SLOTS = 2;
/** Longest time for which a configuration that is being sent counts. */
const CONFIGURATION_SLOT_MS = 3000;

interface RunningBatch {
  readonly call: BatchCall;
  readonly reply: Promise<BatchReply>;
  /** The submitter's latest call for the batch. */
  latest: ServerCall;
}

/** Serves the peer interface of one host. */
export class PeerServer {
  readonly #handler: PeerHandler;

  readonly #clock: HostClock;

  readonly #journal: DispatchJournal;

  readonly #server: JsonServer;

  readonly #running = new Map<string, RunningBatch>();

  /** Replies of batches that ended within `REPLY_RETENTION_MS`, by batch id. */
  readonly #recentReplies = new Map<string, BatchReply>();

  readonly #submitters = new SubmitterTracker();

  readonly #configurationSlots = new TransferSlots(CONFIGURATION_SLOTS, CONFIGURATION_SLOT_MS);

  readonly #timer: NodeJS.Timeout;

  #checkedAtMs: number;

  /** The last check was skipped; the next one is made even if it is late too. */
  #skippedLastCheck = false;

  constructor(handler: PeerHandler, clock: HostClock, journal: DispatchJournal) {
    this.#handler = handler;
    this.#clock = clock;
    this.#checkedAtMs = clock.nowMs();
    this.#journal = journal;
    this.#server = new JsonServer((call) => {
      this.#serve(call).catch((error: unknown) => {
        journal.logDecision('peer-request-failed', { path: call.path, error: String(error) });
        call.destroy();
      });
    });
    this.#timer = setInterval(() => this.#checkSubmitters(), CHECK_PERIOD_MS);
  }

  /** Listens at `ip:port`. */
  listen(ip: string, port: number): Promise<void> {
    return this.#server.listen(ip, port);
  }

  close(): void {
    clearInterval(this.#timer);
    this.#server.close();
  }

  /** Extends the timeouts after a pause of this process, during which it could read no messages. */
  resume(): void {
    this.#submitters.resume(this.#clock.nowMs());
  }

  async #serve(request: ServerCall): Promise<void> {
    switch (request.path) {
      case PeerPath.status:
        this.#answerStatus(request);
        break;
      case PeerPath.batches:
        await this.#answerBatch(request);
        break;
      case PeerPath.runs:
        this.#answerRuns(request);
        break;
      case PeerPath.room:
        this.#answerRoom(request);
        break;
      case PeerPath.placement:
        await this.#answerPlacement(request);
        break;
      case PeerPath.configuration:
        this.#answerConfiguration(request);
        break;
      default:
        request.reply(404, { detail: `no such path: ${request.path}` });
    }
  }

  #answerStatus(request: ServerCall): void {
    const statusRequest = parseBody<StatusRequest>(request.text, [
      'from',
      'configurationVersion',
      'records',
    ]);
    if (!statusRequest) {
      request.reply(400, { detail: 'expected from, configurationVersion and records' });
      return;
    }
    this.#recordContact(
      statusRequest.from,
      statusRequest.awaited,
      this.#ageMs(statusRequest.sentAt),
    );
    this.#withdrawNotAwaited(statusRequest.from.incarnation);
    const batches = [...this.#running.values()]
      .filter(({ call }) => call.from.incarnation === statusRequest.from.incarnation)
      .map(({ call }) => call.batch.batchId);
    const clocks = readClocks(this.#clock);
    request.reply(200, { ...this.#handler.status(statusRequest), batches, clocks });
  }

  /** A host that is refused asks another one; several copies are enough to pass them on. */
  #answerConfiguration(request: ServerCall): void {
    const release = this.#configurationSlots.take(this.#clock.nowMs());
    if (release) request.reply(200, this.#handler.configuration(), release);
    else request.reply(503, { detail: 'other hosts are being sent the configuration' });
  }

  #answerRuns(request: ServerCall): void {
    const runsRequest = parseBody<RunsRequest>(request.text, ['cell', 'jobId']);
    if (!runsRequest) {
      request.reply(400, { detail: 'expected cell and jobId' });
      return;
    }
    const { cell, jobId } = runsRequest;
    request.reply(200, this.#handler.runsOf(cell, jobId));
  }

  #answerRoom(request: ServerCall): void {
    const roomRequest = parseBody<RoomRequest>(request.text, ['cell', 'batch']);
    if (!roomRequest) {
      request.reply(400, { detail: 'expected cell and batch' });
      return;
    }
    const { cell, batch, namesWorker = false } = roomRequest;
    request.reply(200, { room: this.#handler.roomIn(cell, batch, namesWorker) });
  }

  /** Answers an operator's question; the request is checked, because it is written by hand. */
  async #answerPlacement(call: ServerCall): Promise<void> {
    const request = readPreviewRequest(parseBody(call.text, []));
    const preview = request.ok ? await this.#handler.preview(request.val) : request;
    if (preview.ok) call.reply(200, preview.val);
    else call.reply(400, { detail: preview.val });
  }

  async #answerBatch(request: ServerCall): Promise<void> {
    const call = parseBody<BatchCall>(request.text, ['from', 'cell', 'batch']);
    if (!call) {
      request.reply(400, { detail: 'expected from, cell and batch' });
      return;
    }
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
