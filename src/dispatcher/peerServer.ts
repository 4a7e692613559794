/**
 * The interface between hosts. A batch call stays open until the batch has ended; a caller that closes
 * it, does not name it among those that it waits for, or whose host falls silent, has its batch
 * withdrawn.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { text as readText } from 'node:stream/consumers';
import { agedBatch, BatchReason, type BatchOutcome, type CellSummary } from '../cells/messages';
import type { SubmitterContact } from '../cells/submitterContact';
import type { LogFields } from '../observe/observer';
import { BatchContact, readingBefore } from './batchContact';
import type { HostIdentity } from './cellRecord';
import type { DispatchJournal } from './journal';
import { ageMs, readClocks, type HostClock, type SendTime } from './peerClocks';
import {
  parseBody,
  PeerPath,
  type AwaitedCalls,
  type BatchCall,
  type BatchReply,
  type HostStatus,
  type StatusRequest,
} from './peerMessages';
import type { QueueConfiguration } from './queueTable';
import { SubmitterTracker } from './submitterTracker';

/** What the server calls on this host. */
export interface PeerHandler {
  /** Incarnation of this process. */
  readonly incarnation: string;
  status(question: StatusRequest): HostStatus;
  /** Runs a batch if this host owns the cell. */
  run(call: BatchCall, contact: SubmitterContact): Promise<BatchOutcome>;
  withdraw(cell: string, batchId: string, reason: BatchReason): void;
  summary(cell: string): CellSummary | null;
  configuration(): QueueConfiguration | null;
}

const CHECK_PERIOD_MS = 100;
/** A check that comes later than this follows a pause of the process. */
const LATE_CHECK_MS = 3 * CHECK_PERIOD_MS;
const KEEP_ALIVE_MS = 120_000;

/**
 * A batch that is older when it comes is refused, and an older question is no sign of life. A client may
 * send its job again 1300 ms after the submitter was lost, and nothing may run by then: this age, the
 * time until the submitter counts as gone, the period of that check and 50 ms for a stop end before.
 */
const OLDEST_MS = 400;

/** An end is kept so long for a submitter whose connection has gone silent. */
const END_KEPT_MS = 10_000;

interface OpenBatch {
  readonly call: BatchCall;
  readonly reply: Promise<BatchReply>;
  /** Of the submitter's latest call for the batch. */
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

/** Server of one host. */
export class PeerServer {
  readonly #handler: PeerHandler;

  readonly #clock: HostClock;

  readonly #journal: DispatchJournal;

  readonly #server: Server;

  readonly #open = new Map<string, OpenBatch>();

  /** Replies of batches that have ended lately. */
  readonly #ended = new Map<string, BatchReply>();

  readonly #submitters = new SubmitterTracker();

  readonly #timer: NodeJS.Timeout;

  #checkedAtMs: number;

  /** The last check was left out; the next one is made, however late it is. */
  #wasSkipped = false;

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

  /** After a pause of this process: what was not heard in that time says nothing. */
  resume(): void {
    this.#submitters.resume(this.#clock.nowMs());
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const text = await readText(request);
    switch (request.url) {
      case PeerPath.status:
        this.#status(text, response);
        break;
      case PeerPath.batches:
        await this.#run(text, response);
        break;
      case PeerPath.configuration:
        sendJson(response, 200, this.#handler.configuration());
        break;
      default:
        sendJson(response, 404, { detail: `no such path: ${request.url}` });
    }
  }

  #status(text: string, response: ServerResponse): void {
    const question = parseBody<StatusRequest>(text, ['from', 'configurationVersion', 'records']);
    if (!question) {
      sendJson(response, 400, { detail: 'expected from, configurationVersion and records' });
      return;
    }
    this.#heard(question.from, question.awaited, this.#ageMs(question.sentAt));
    this.#withdrawNotAwaited(question.from.incarnation);
    const batches = [...this.#open.values()]
      .filter(({ call }) => call.from.incarnation === question.from.incarnation)
      .map(({ call }) => call.batch.batchId);
    const clocks = readClocks(this.#clock);
    sendJson(response, 200, { ...this.#handler.status(question), batches, clocks });
  }

  async #run(text: string, response: ServerResponse): Promise<void> {
    const call = parseBody<BatchCall>(text, ['from', 'cell', 'batch']);
    if (!call) {
      sendJson(response, 400, { detail: 'expected from, cell and batch' });
      return;
    }
    const age = this.#ageMs(call.sentAt);
    this.#heard(call.from, undefined, age);
    if (!this.#submitters.isAwaited(call)) {
      this.#decide('batch-not-awaited', call, {});
      sendJson(response, 409, { detail: 'the sender does not wait for the batch any more' });
      return;
    }
    if (call.isRetry && call.ownerIncarnation !== this.#handler.incarnation) {
      sendJson(response, 409, { detail: 'the batch was sent to an earlier process' });
      return;
    }
    const { batchId } = call.batch;
    const known = this.#ended.get(batchId) ?? this.#refuse(call, age);
    const reply = known ?? (await this.#join(call, age, response));
    if (!response.destroyed) sendJson(response, 200, reply);
  }

  /** Age of a message. Hosts of the version before do not tell it: theirs are taken at any age. */
  #ageMs(sentAt: SendTime | undefined): number {
    return sentAt ? ageMs(sentAt, this.#handler.incarnation, readClocks(this.#clock)) : 0;
  }

  /**
   * Refuses a batch that is meant for another process, or was held on the way so long that its submitter
   * may have given it up; null if it may run. One that runs here already goes on.
   */
  #refuse({ batch, ownerIncarnation }: BatchCall, age: number): BatchReply | null {
    const { batchId, jobId } = batch;
    if (this.#open.has(batchId)) return null;
    if (ownerIncarnation !== undefined && ownerIncarnation !== this.#handler.incarnation) {
      const reason = BatchReason.notOwner;
      this.#journal.logDecision('batch-refused', { batchId, jobId, reason, ownerIncarnation });
      return { outcome: { type: 'refused', reason, retryAfterMs: 0 }, summary: null };
    }
    if (age <= OLDEST_MS) return null;
    const reason = BatchReason.expired;
    const timing = { ageMs: Math.round(age), limitMs: OLDEST_MS };
    this.#journal.logDecision('batch-refused', { batchId, jobId, reason, ...timing });
    const outcome: BatchOutcome = { type: 'refused', reason, retryAfterMs: 0 };
    return { outcome, summary: null, clocks: readClocks(this.#clock) };
  }

  /** Runs a batch, or joins it if it has come before over another connection. */
  #join(call: BatchCall, age: number, response: ServerResponse): Promise<BatchReply> {
    const { batchId } = call.batch;
    const known = this.#open.get(batchId);
    const open = known ?? { call, reply: this.#begin(call, age), response };
    open.response = response;
    this.#open.set(batchId, open);
    response.once('close', () => {
      const isLatest = open.response === response;
      if (isLatest && !response.writableFinished) this.#withdraw(open, BatchReason.withdrawn);
    });
    return open.reply;
  }

  /** The time of sending may be wrong, but a batch never gains time on its way. */
  async #begin(call: BatchCall, age: number): Promise<BatchReply> {
    const { cell } = call;
    const batch = agedBatch(call.batch, Math.max(0, age));
    const calledAt = readingBefore(readClocks(this.#clock), Math.max(0, age));
    const contact = new BatchContact(this.#clock, calledAt, () =>
      this.#submitters.lastStatusRequestAt(call.from),
    );
    const outcome = await this.#handler.run({ ...call, batch }, contact);
    const reply = { outcome, summary: this.#handler.summary(cell) };
    this.#open.delete(batch.batchId);
    this.#ended.set(batch.batchId, reply);
    setTimeout(() => this.#ended.delete(batch.batchId), END_KEPT_MS).unref();
    return reply;
  }

  /** A message that was held on the way is no sign of life, but what was given up stays given up. */
  #heard(from: HostIdentity, awaited: AwaitedCalls | undefined, age: number): void {
    const nowMs = this.#clock.nowMs();
    if (age <= OLDEST_MS) this.#submitters.recordContact(from, nowMs);
    const sentAt = readingBefore(readClocks(this.#clock), Math.max(0, age));
    if (awaited) this.#submitters.updateAwaitedCalls(from, awaited, sentAt, nowMs);
  }

  /** The end of a call may have been lost on a connection that went silent. */
  #withdrawNotAwaited(incarnation: string): void {
    this.#open.forEach((open) => {
      if (open.call.from.incarnation !== incarnation) return;
      if (!this.#submitters.isAwaited(open.call)) this.#withdraw(open, BatchReason.notAwaited);
    });
  }

  #checkSubmitters(): void {
    const nowMs = this.#clock.nowMs();
    const isLate = nowMs - this.#checkedAtMs > LATE_CHECK_MS;
    this.#checkedAtMs = nowMs;
    // What submitters said during the pause lies in the socket buffers and is read before the next check.
    this.#wasSkipped = isLate && !this.#wasSkipped;
    if (this.#wasSkipped) return;
    this.#open.forEach((open) => {
      const { from } = open.call;
      if (!this.#submitters.isSilent(from, nowMs)) return;
      if (this.#submitters.markSilent(from)) {
        const { hostId, incarnation, address } = from;
        this.#journal.logDecision('submitter-silent', { from: hostId, incarnation, address });
      }
      this.#withdraw(open, BatchReason.unreachable);
    });
  }

  #withdraw({ call }: OpenBatch, reason: BatchReason): void {
    const { batchId } = call.batch;
    if (!this.#open.delete(batchId)) return;
    this.#decide('batch-withdrawn', call, { reason });
    this.#handler.withdraw(call.cell, batchId, reason);
  }

  #decide(decision: string, { from, cell, batch }: BatchCall, fields: LogFields): void {
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
