/** Calls to other hosts over HTTP. */
import { agedBatch, BatchReason, type BatchOutcome } from '../cells/messages';
import { BatchCalls, type BatchCallInProgress } from './batchCalls';
import type { CellRecord } from './cellRecord';
import type { DispatchJournal } from './journal';
import { PoolSet } from './poolSet';
import type { CallLimits } from './pooledCall';
import { laterOf, PeerClocks, type HostClock, type SendTime } from './peerClocks';
import {
  parseBody,
  PeerPath,
  type BatchCall,
  type BatchReply,
  type PeerStatus,
  type StatusRequest,
} from './peerMessages';
import type { QueueConfiguration } from './queueTable';

/** Why a peer's status is not known. */
export const StatusFailure = {
  /** Nothing listens there. */
  refused: 'refused',
  unanswered: 'unanswered',
} as const;
export type StatusFailure = (typeof StatusFailure)[keyof typeof StatusFailure];

const QUESTION_LIMITS: CallLimits = { timeoutMs: 450 };
/**
 * A question without an answer for so long may have taken a connection that went silent, and others that
 * are kept may be silent too: the next one gets a new connection, well before the owner counts as gone.
 */
const RENEW_AFTER_MS = 250;
const CONNECT_TIMEOUT_MS = 400;
const HTTP_OK = 200;

const UNREACHABLE: BatchReply = {
  outcome: { type: 'lost', reason: BatchReason.unreachable, started: null, succeeded: [] },
  summary: null,
};

function isRefusal(error: unknown): boolean {
  return (error as NodeJS.ErrnoException | null)?.code === 'ECONNREFUSED';
}

function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

function notSent(): BatchReply {
  const outcome: BatchOutcome = {
    type: 'refused',
    reason: BatchReason.unreachable,
    retryAfterMs: 0,
  };
  return { outcome, summary: null };
}

/** Client for the interface between hosts; no method rejects, and each failure is logged. */
export class PeerClient {
  readonly #pools: PoolSet;

  readonly #calls = new BatchCalls();

  readonly #clock: HostClock;

  /** Clocks of the hosts that have answered. */
  readonly #peerClocks: PeerClocks;

  readonly #journal: DispatchJournal;

  /** Hosts whose last status call had no answer. */
  readonly #unanswered = new Set<string>();

  constructor(clock: HostClock, journal: DispatchJournal) {
    this.#clock = clock;
    this.#peerClocks = new PeerClocks(clock);
    this.#journal = journal;
    const options = { connections: null, connectTimeoutMs: CONNECT_TIMEOUT_MS };
    this.#pools = new PoolSet(options);
  }

  async status(address: string, question: StatusRequest): Promise<PeerStatus | StatusFailure> {
    const askedAtMs = this.#clock.nowMs();
    const awaited = this.#calls.awaited(address) ?? undefined;
    const sentAt = this.#peerClocks.sendTime(address);
    const renewal = setTimeout(this.#pools.renewer(address), RENEW_AFTER_MS);
    try {
      const asked = { ...question, awaited, sentAt };
      const text = await this.#post(address, PeerPath.status, asked, QUESTION_LIMITS);
      const status = parseBody<PeerStatus>(text, ['hostId', 'incarnation', 'cells', 'records']);
      if (!status) throw new Error('the status could not be read');
      this.#peerClocks.note(address, status.incarnation, status.clocks);
      if (this.#unanswered.delete(address)) this.#journal.logDecision('peer-regained', { address });
      this.#checkBatches(address, status.batches, askedAtMs);
      return status;
    } catch (error) {
      this.#noteUnanswered(address, error);
      return isRefusal(error) ? StatusFailure.refused : StatusFailure.unanswered;
    } finally {
      clearTimeout(renewal);
    }
  }

  /** True while batches of this host are in progress there, or may be. */
  mayHaveBatchesAt(address: string): boolean {
    return this.#calls.isRunningAt(address, this.#clock.nowMs());
  }

  /**
   * Runs a batch at its owner, and sends it again if the connection went silent. A batch that was lost
   * on the way may run until the owner hears that it is not awaited any more.
   */
  async run(address: string, call: BatchCall, abort: AbortController): Promise<BatchReply> {
    const { cell, ownerIncarnation = null } = call;
    const { batchId } = call.batch;
    const number = this.#calls.nextNumber();
    const calledAtMs = this.#clock.nowMs();
    let sends = 0;
    let reply: BatchReply | null = null;
    let sentAt: SendTime | undefined;
    let attempt: AbortController;
    const end = () => attempt.abort();
    abort.signal.addEventListener('abort', end, { once: true });
    try {
      do {
        attempt = new AbortController();
        sends += 1;
        this.#track(address, { batchId, cell, ownerIncarnation, number }, attempt, abort);
        sentAt = laterOf(sentAt, this.#peerClocks.sendTime(address));
        const batch = agedBatch(call.batch, this.#clock.nowMs() - calledAtMs);
        const sent: BatchCall = { ...call, batch, number, isRetry: sends > 1, sentAt };
        // eslint-disable-next-line no-await-in-loop -- sent again only when the call before was broken
        reply = await this.#send(address, sent, attempt.signal);
      } while (!reply && attempt.signal.aborted && !abort.signal.aborted);
      return reply ?? UNREACHABLE;
    } finally {
      abort.signal.removeEventListener('abort', end);
      if (reply) this.#calls.delete(address, batchId);
      else this.#calls.giveUp(address, batchId, this.#clock.nowMs());
    }
  }

  async configuration(address: string): Promise<QueueConfiguration | null> {
    try {
      const text = await this.#post(address, PeerPath.configuration, {}, QUESTION_LIMITS);
      return parseBody<QueueConfiguration>(text, ['version', 'bindings', 'services']);
    } catch (error) {
      this.#journal.logDecision('configuration-unread', { address, error: messageOf(error) });
      return null;
    }
  }

  /** Ends all batches at an owner that is gone; they count as lost. */
  abandonCallsTo(address: string): void {
    this.#calls.abandon(address);
  }

  /** Ends the batches of a cell that its earlier owners do not hand over soon; they count as lost. */
  abandonCallsToFormerOwners(record: CellRecord): void {
    this.#calls.abandonReplaced(record);
  }

  async close(): Promise<void> {
    this.#pools.close();
  }

  #track(
    address: string,
    call: Omit<BatchCallInProgress, 'sentAtMs' | 'abandon' | 'resend'>,
    attempt: AbortController,
    abort: AbortController,
  ): void {
    this.#calls.set(address, {
      ...call,
      sentAtMs: this.#clock.nowMs(),
      abandon: () => abort.abort(),
      resend: () => {
        this.#journal.logDecision('batch-sent-again', { batchId: call.batchId, address });
        attempt.abort();
      },
    });
  }

  /** One attempt; null if it broke. */
  async #send(address: string, call: BatchCall, signal: AbortSignal): Promise<BatchReply | null> {
    try {
      const text = await this.#post(address, PeerPath.batches, call, { signal });
      const reply = parseBody<BatchReply>(text, ['outcome']);
      const { ownerIncarnation } = call;
      if (reply?.clocks && ownerIncarnation) {
        this.#peerClocks.note(address, ownerIncarnation, reply.clocks);
      }
      return reply;
    } catch (error) {
      const { batchId, jobId } = call.batch;
      const cause = { address, error: messageOf(error) };
      this.#journal.logDecision('batch-call-failed', { batchId, jobId, ...cause });
      // Nothing of an earlier attempt is known.
      return isRefusal(error) && !call.isRetry ? notSent() : null;
    }
  }

  #noteUnanswered(address: string, error: unknown): void {
    if (this.#unanswered.has(address)) return;
    this.#unanswered.add(address);
    this.#journal.logDecision('peer-lost', { address, error: messageOf(error) });
  }

  /** Hosts of an earlier version do not tell what is in progress. */
  #checkBatches(
    address: string,
    inProgress: readonly string[] | undefined,
    askedAtMs: number,
  ): void {
    const missing = inProgress ? this.#calls.missing(address, inProgress, askedAtMs) : [];
    if (missing.length === 0) return;
    this.#calls.resendLater(address, missing, () => this.#pools.renew(address));
  }

  async #post(address: string, path: string, body: unknown, limits: CallLimits): Promise<string> {
    const request = { method: 'POST', path, body: JSON.stringify(body) } as const;
    const { status, text } = await this.#pools.poolFor(address).call(request, limits);
    if (status !== HTTP_OK) throw new Error(`status ${status}`);
    return text;
  }
}
