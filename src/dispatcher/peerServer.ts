/**
 * The interface between hosts. A batch call stays open until the batch has ended; a caller that closes
 * it, or whose host falls silent, has its batch withdrawn.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { text as readText } from 'node:stream/consumers';
import { BatchReason, type BatchOutcome, type CellSummary } from '../cells/messages';
import type { HostIdentity } from './cellRecord';
import type { DispatchJournal } from './journal';
import { ageMs, readClocks, type HostClock, type SendTime } from './peerClocks';
import {
  parseBody,
  PeerPath,
  type BatchCall,
  type BatchReply,
  type HostStatus,
  type StatusQuestion,
} from './peerMessages';
import type { QueueConfiguration } from './queueTable';

/** What the server calls on this host. */
export interface PeerHandler {
  /** Incarnation of this process. */
  readonly incarnation: string;
  status(question: StatusQuestion): HostStatus;
  /** Runs a batch if this host owns the cell. */
  run(call: BatchCall): Promise<BatchOutcome>;
  withdraw(cell: string, batchId: string, reason: BatchReason): void;
  summary(cell: string): CellSummary | null;
  configuration(): QueueConfiguration | null;
}

/** A submitter that has not asked for this long is taken to be gone. */
const SILENT_AFTER_MS = 700;
const CHECK_PERIOD_MS = 100;
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

  readonly #heardAtMs = new Map<string, number>();

  readonly #timer: NodeJS.Timeout;

  constructor(handler: PeerHandler, clock: HostClock, journal: DispatchJournal) {
    this.#handler = handler;
    this.#clock = clock;
    this.#journal = journal;
    this.#server = createServer((request, response) => {
      this.#serve(request, response).catch((error: unknown) => {
        journal.decide('peer-request-failed', { path: request.url, error: String(error) });
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
    const nowMs = this.#clock.nowMs();
    [...this.#heardAtMs.keys()].forEach((key) => this.#heardAtMs.set(key, nowMs));
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
    const question = parseBody<StatusQuestion>(text, ['from', 'configurationVersion', 'records']);
    if (!question) {
      sendJson(response, 400, { detail: 'expected from, configurationVersion and records' });
      return;
    }
    this.#heard(question.from, this.#ageMs(question.sentAt));
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
    this.#heard(call.from, age);
    if (call.isRetry && call.ownerIncarnation !== this.#handler.incarnation) {
      sendJson(response, 409, { detail: 'the batch was sent to an earlier process' });
      return;
    }
    const { batchId } = call.batch;
    const known = this.#ended.get(batchId) ?? this.#refuse(call, age);
    const reply = known ?? (await this.#join(call, response));
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
      this.#journal.decide('batch-refused', { batchId, jobId, reason, ownerIncarnation });
      return { outcome: { type: 'refused', reason, retryAfterMs: 0 }, summary: null };
    }
    if (age <= OLDEST_MS) return null;
    const reason = BatchReason.expired;
    const timing = { ageMs: Math.round(age), limitMs: OLDEST_MS };
    this.#journal.decide('batch-refused', { batchId, jobId, reason, ...timing });
    const outcome: BatchOutcome = { type: 'refused', reason, retryAfterMs: 0 };
    return { outcome, summary: null, clocks: readClocks(this.#clock) };
  }

  /** Runs a batch, or joins it if it has come before over another connection. */
  #join(call: BatchCall, response: ServerResponse): Promise<BatchReply> {
    const { batchId } = call.batch;
    const known = this.#open.get(batchId);
    const open = known ?? { call, reply: this.#begin(call), response };
    open.response = response;
    this.#open.set(batchId, open);
    response.once('close', () => {
      const isLatest = open.response === response;
      if (isLatest && !response.writableFinished) this.#withdraw(open, BatchReason.withdrawn);
    });
    return open.reply;
  }

  async #begin(call: BatchCall): Promise<BatchReply> {
    const { cell, batch } = call;
    const outcome = await this.#handler.run(call);
    const reply = { outcome, summary: this.#handler.summary(cell) };
    this.#open.delete(batch.batchId);
    this.#ended.set(batch.batchId, reply);
    setTimeout(() => this.#ended.delete(batch.batchId), END_KEPT_MS).unref();
    return reply;
  }

  /** A message that was held on the way says nothing of its sender now. */
  #heard({ hostId, incarnation }: HostIdentity, age: number): void {
    if (age > OLDEST_MS) return;
    this.#heardAtMs.set(`${hostId}/${incarnation}`, this.#clock.nowMs());
  }

  #checkSubmitters(): void {
    const nowMs = this.#clock.nowMs();
    this.#open.forEach((open) => {
      const { hostId, incarnation } = open.call.from;
      const heardAtMs = this.#heardAtMs.get(`${hostId}/${incarnation}`) ?? nowMs;
      if (nowMs - heardAtMs > SILENT_AFTER_MS) this.#withdraw(open, BatchReason.unreachable);
    });
  }

  #withdraw({ call }: OpenBatch, reason: BatchReason): void {
    const { cell, batch, from } = call;
    const { batchId, jobId } = batch;
    if (!this.#open.delete(batchId)) return;
    const heardAtMs = this.#heardAtMs.get(`${from.hostId}/${from.incarnation}`);
    const heardAgoMs = heardAtMs === undefined ? null : Math.round(this.#clock.nowMs() - heardAtMs);
    const fields = { jobId, batchId, cell, submitter: from.hostId, reason, heardAgoMs };
    this.#journal.decide('batch-withdrawn', fields);
    this.#handler.withdraw(cell, batchId, reason);
  }
}
