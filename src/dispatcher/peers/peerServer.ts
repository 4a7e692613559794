/**
 * HTTP server for the peer interface. A batch call stays open until the batch has ended. The batch
 * is withdrawn if its submitter closes the call, omits it from the calls that it awaits, or has not
 * been heard from for too long.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { text as readText } from 'node:stream/consumers';
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
const KEEP_ALIVE_MS = 120_000;

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
  /** Response of the submitter's latest call for the batch. */
  response: ServerResponse;
}

function sendJson(response: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Serves the peer interface of one host. */
export class PeerServer {
  readonly #handler: PeerHandler;

  readonly #clock: HostClock;

  readonly #journal: DispatchJournal;

  readonly #server: Server;

  readonly #running = new Map<string, RunningBatch>();

  /** Replies of batches that ended within `REPLY_RETENTION_MS`, by batch id. */
  readonly #recentReplies = new Map<string, BatchReply>();

  readonly #submitters = new SubmitterTracker();

  readonly #timer: NodeJS.Timeout;

  #checkedAtMs: number;

  /** The last check was skipped; the next one is made even if it is late too. */
  #skippedLastCheck = false;

  constructor(handler: PeerHandler, clock: HostClock, journal: DispatchJournal) {
    this.#handler = handler;
    this.#clock = clock;
    this.#checkedAtMs = clock.nowMs();
    this.#journal = journal;
    this.#server = createServer((request, response) => {
      this.#serve(request, response).catch((error: unknown) => {
        journal.logDecision('peer-request-failed', { path: request.url, error: String(error) });
        response.destroy();
      });
    });
    this.#server.keepAliveTimeout = KEEP_ALIVE_MS;
    this.#timer = setInterval(() => this.#checkSubmitters(), CHECK_PERIOD_MS);
  }

  /** Listens at `ip:port`. */
  listen(ip: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, ip, resolve);
    });
  }

  close(): void {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Extends the timeouts after a pause of this process, during which it could read no messages. */
  resume(): void {
    this.#submitters.resume(this.#clock.nowMs());
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const text = await readText(request);
    switch (request.url) {
      case PeerPath.status:
        this.#answerStatus(text, response);
        break;
      case PeerPath.batches:
        await this.#answerBatch(text, response);
        break;
      case PeerPath.runs:
        this.#answerRuns(text, response);
        break;
      case PeerPath.room:
        this.#answerRoom(text, response);
        break;
      case PeerPath.placement:
        await this.#answerPlacement(text, response);
        break;
      case PeerPath.configuration:
        sendJson(response, 200, this.#handler.configuration());
        break;
      default:
        sendJson(response, 404, { detail: `no such path: ${request.url}` });
    }
  }

  #answerStatus(text: string, response: ServerResponse): void {
    const statusRequest = parseBody<StatusRequest>(text, [
      'from',
      'configurationVersion',
      'records',
    ]);
    if (!statusRequest) {
      sendJson(response, 400, { detail: 'expected from, configurationVersion and records' });
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
    sendJson(response, 200, { ...this.#handler.status(statusRequest), batches, clocks });
  }

  #answerRuns(text: string, response: ServerResponse): void {
    const runsRequest = parseBody<RunsRequest>(text, ['cell', 'jobId']);
    if (!runsRequest) {
      sendJson(response, 400, { detail: 'expected cell and jobId' });
      return;
    }
    const { cell, jobId } = runsRequest;
    sendJson(response, 200, this.#handler.runsOf(cell, jobId));
  }

  #answerRoom(text: string, response: ServerResponse): void {
    const roomRequest = parseBody<RoomRequest>(text, ['cell', 'batch']);
    if (!roomRequest) {
      sendJson(response, 400, { detail: 'expected cell and batch' });
      return;
    }
    const { cell, batch, namesWorker = false } = roomRequest;
    sendJson(response, 200, { room: this.#handler.roomIn(cell, batch, namesWorker) });
  }

  /** Answers an operator's question; the request is checked, because it is written by hand. */
  async #answerPlacement(text: string, response: ServerResponse): Promise<void> {
    const request = readPreviewRequest(parseBody(text, []));
    const preview = request.ok ? await this.#handler.preview(request.val) : request;
    if (preview.ok) sendJson(response, 200, preview.val);
    else sendJson(response, 400, { detail: preview.val });
  }

  async #answerBatch(text: string, response: ServerResponse): Promise<void> {
    const call = parseBody<BatchCall>(text, ['from', 'cell', 'batch']);
    if (!call) {
      sendJson(response, 400, { detail: 'expected from, cell and batch' });
      return;
    }
    const age = this.#ageMs(call.sentAt);
    this.#recordContact(call.from, undefined, age);
    if (!this.#submitters.isAwaited(call)) {
      this.#logDecision('batch-not-awaited', call, {});
      sendJson(response, 409, { detail: 'the sender does not wait for the batch any more' });
      return;
    }
    if (call.isRetry && call.ownerIncarnation !== this.#handler.incarnation) {
      sendJson(response, 409, { detail: 'the batch was sent to an earlier process' });
      return;
    }
    const { batchId } = call.batch;
    const known = this.#recentReplies.get(batchId) ?? this.#refusalOf(call, age);
    const reply = known ?? (await this.#join(call, age, response));
    if (!response.destroyed) sendJson(response, 200, reply);
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
  #join(call: BatchCall, age: number, response: ServerResponse): Promise<BatchReply> {
    const { batchId } = call.batch;
    const known = this.#running.get(batchId);
    const running = known ?? { call, reply: this.#start(call, age), response };
    running.response = response;
    this.#running.set(batchId, running);
    response.once('close', () => {
      const isLatest = running.response === response;
      if (isLatest && !response.writableFinished) this.#withdraw(running, BatchReason.withdrawn);
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
