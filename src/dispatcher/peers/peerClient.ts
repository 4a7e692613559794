/** HTTP client for calls to other hosts. */
import { agedBatch, BatchReason, type BatchOutcome, type CellRoom } from '../../cells/messages';
import { BatchCalls, type BatchCallInProgress } from './batchCalls';
import type { CellRecord } from '../ownership/cellRecord';
import type { DispatchJournal } from '../journal';
import { PoolSet } from '../transport/poolSet';
import type { CallLimits } from '../transport/pooledCall';
import { laterSendTime, PeerClocks, type HostClock, type SendTime } from './peerClocks';
import {
  parseBody,
  PeerPath,
  type BatchCall,
  type BatchReply,
  type PeerStatus,
  type RoomReply,
  type RoomRequest,
  type RunsReply,
  type RunsRequest,
  type StatusRequest,
} from './peerMessages';
import type { QueueConfiguration } from '../jobs/queueTable';

/** Why a status call failed. */
export const StatusFailure = {
  /** The connection was refused: no process listens at the address. */
  refused: 'refused',
  unanswered: 'unanswered',
} as const;
export type StatusFailure = (typeof StatusFailure)[keyof typeof StatusFailure];

const REQUEST_LIMITS: CallLimits = { timeoutMs: 450 };
/** A configuration can be large. */
const CONFIGURATION_LIMITS: CallLimits = { ...REQUEST_LIMITS, stallTimeoutMs: 1000 };
/** A job waits for the answer before it starts. */
const RUNS_LIMITS: CallLimits = { timeoutMs: 100 };
/** Below the slack of most jobs, which wait for the answer. */
const ROOM_LIMITS: CallLimits = { timeoutMs: 30 };
/**
 * When a status call has had no answer for this time, its connection may have been lost without a
 * reset, and so may the pooled ones. They are replaced, so that the next call uses a new connection
 * well before the owner counts as gone.
 */
const REPLACE_POOL_AFTER_MS = 250;
const CONNECT_TIMEOUT_MS = 400;
const HTTP_OK = 200;

const UNREACHABLE: BatchReply = {
  outcome: { type: 'lost', reason: BatchReason.unreachable, started: null, succeeded: [] },
  summary: null,
};

function isConnectionRefused(error: unknown): boolean {
  return (error as NodeJS.ErrnoException | null)?.code === 'ECONNREFUSED';
}

function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

function notSentReply(): BatchReply {
  const outcome: BatchOutcome = {
    type: 'refused',
    reason: BatchReason.unreachable,
    retryAfterMs: 0,
  };
  return { outcome, summary: null };
}

/** Client for the peer interface. No method rejects; failures are logged. */
export class PeerClient {
  readonly #pools: PoolSet;

  readonly #calls = new BatchCalls();

  readonly #clock: HostClock;

  /** Estimated clocks of the hosts that have answered. */
  readonly #peerClocks: PeerClocks;

  readonly #journal: DispatchJournal;

  /** Addresses whose last status call failed. */
  readonly #unresponsive = new Set<string>();

  constructor(clock: HostClock, journal: DispatchJournal) {
    this.#clock = clock;
    this.#peerClocks = new PeerClocks(clock);
    this.#journal = journal;
    const options = { connections: null, connectTimeoutMs: CONNECT_TIMEOUT_MS };
    this.#pools = new PoolSet(options);
  }

  async status(address: string, statusRequest: StatusRequest): Promise<PeerStatus | StatusFailure> {
    const polledAtMs = this.#clock.nowMs();
    const awaited = this.#calls.awaited(address) ?? undefined;
    const sentAt = this.#peerClocks.sendTime(address);
    const timer = setTimeout(this.#pools.poolReplacer(address), REPLACE_POOL_AFTER_MS);
    try {
      const fullRequest = { ...statusRequest, awaited, sentAt };
      const text = await this.#post(address, PeerPath.status, fullRequest, REQUEST_LIMITS);
      const status = parseBody<PeerStatus>(text, ['hostId', 'incarnation', 'cells', 'records']);
      if (!status) throw new Error('malformed status response');
      this.#peerClocks.recordReading(address, status.incarnation, status.clocks);
      if (this.#unresponsive.delete(address))
        this.#journal.logDecision('peer-regained', { address });
      this.#resendMissing(address, status.batches, polledAtMs);
      return status;
    } catch (error) {
      this.#recordFailedPoll(address, error);
      return isConnectionRefused(error) ? StatusFailure.refused : StatusFailure.unanswered;
    } finally {
      clearTimeout(timer);
    }
  }

  /** True while batches of this host are, or may be, in progress at the address. */
  mayHaveBatchesAt(address: string): boolean {
    return this.#calls.mayHaveBatchesAt(address, this.#clock.nowMs());
  }

  /**
   * Runs a batch at its owner, and resends it over a new connection if the first one was lost. A
   * batch that counts as lost may go on running until the owner learns that it is no longer
   * awaited.
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
    const abortAttempt = () => attempt.abort();
    abort.signal.addEventListener('abort', abortAttempt, { once: true });
    try {
      do {
        attempt = new AbortController();
        sends += 1;
        this.#track(address, { batchId, cell, ownerIncarnation, number }, attempt, abort);
        sentAt = laterSendTime(sentAt, this.#peerClocks.sendTime(address));
        const batch = agedBatch(call.batch, this.#clock.nowMs() - calledAtMs);
        const attemptCall: BatchCall = { ...call, batch, number, isRetry: sends > 1, sentAt };
        // eslint-disable-next-line no-await-in-loop -- resent only after the previous attempt broke
        reply = await this.#send(address, attemptCall, attempt.signal);
      } while (!reply && attempt.signal.aborted && !abort.signal.aborted);
      return reply ?? UNREACHABLE;
    } finally {
      abort.signal.removeEventListener('abort', abortAttempt);
      if (reply) this.#calls.delete(address, batchId);
      else this.#calls.giveUp(address, batchId, this.#clock.nowMs());
    }
  }

  async configuration(address: string): Promise<QueueConfiguration | null> {
    try {
      const text = await this.#post(address, PeerPath.configuration, {}, CONFIGURATION_LIMITS);
      return parseBody<QueueConfiguration>(text, ['version', 'bindings', 'services']);
    } catch (error) {
      this.#journal.logDecision('configuration-unread', { address, error: messageOf(error) });
      return null;
    }
  }

  /** Asks an owner whether runs of a job may be in progress; null if it does not answer. */
  async runsOf(address: string, runsRequest: RunsRequest): Promise<RunsReply | null> {
    try {
      const text = await this.#post(address, PeerPath.runs, runsRequest, RUNS_LIMITS);
      return parseBody<RunsReply>(text, ['mayRun']);
    } catch (error) {
      const cause = { address, error: messageOf(error) };
      this.#journal.logDecision('runs-unread', { ...runsRequest, ...cause });
      return null;
    }
  }

  /** Asks an owner for the room in its cell; null if it does not answer. */
  async roomIn(address: string, roomRequest: RoomRequest): Promise<CellRoom | null> {
    try {
      const text = await this.#post(address, PeerPath.room, roomRequest, ROOM_LIMITS);
      return parseBody<RoomReply>(text, ['room'])?.room ?? null;
    } catch (error) {
      const { cell, batch } = roomRequest;
      const cause = { address, error: messageOf(error) };
      this.#journal.logDecision('room-unread', { jobId: batch.jobId, cell, ...cause });
      return null;
    }
  }

  /** Ends all batch calls to an owner that is gone; the batches count as lost. */
  abandonCallsTo(address: string): void {
    this.#calls.abandonCallsTo(address);
  }

  /**
   * Ends the batch calls for a cell that its former owners do not hand over in time; the batches
   * count as lost.
   */
  abandonCallsToFormerOwners(record: CellRecord): void {
    this.#calls.abandonCallsToFormerOwners(record);
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

  /** Makes one attempt. Returns null if it failed and the batch may have reached the owner. */
  async #send(address: string, call: BatchCall, signal: AbortSignal): Promise<BatchReply | null> {
    try {
      const text = await this.#post(address, PeerPath.batches, call, { signal });
      const reply = parseBody<BatchReply>(text, ['outcome']);
      const { ownerIncarnation } = call;
      if (reply?.clocks && ownerIncarnation) {
        this.#peerClocks.recordReading(address, ownerIncarnation, reply.clocks);
      }
      return reply;
    } catch (error) {
      const { batchId, jobId } = call.batch;
      const cause = { address, error: messageOf(error) };
      this.#journal.logDecision('batch-call-failed', { batchId, jobId, ...cause });
      // A refused connection says nothing about an earlier attempt, which may have reached the
      // owner.
      return isConnectionRefused(error) && !call.isRetry ? notSentReply() : null;
    }
  }

  #recordFailedPoll(address: string, error: unknown): void {
    if (this.#unresponsive.has(address)) return;
    this.#unresponsive.add(address);
    this.#journal.logDecision('peer-lost', { address, error: messageOf(error) });
  }

  /** Resends batches that the owner does not list. Hosts of earlier versions send no list. */
  #resendMissing(
    address: string,
    inProgress: readonly string[] | undefined,
    polledAtMs: number,
  ): void {
    const missing = inProgress ? this.#calls.missing(address, inProgress, polledAtMs) : [];
    if (missing.length === 0) return;
    this.#calls.resendLater(address, missing, () => this.#pools.replacePool(address));
  }

  async #post(address: string, path: string, body: unknown, limits: CallLimits): Promise<string> {
    const request = { method: 'POST', path, body: JSON.stringify(body) } as const;
    const { status, text } = await this.#pools.poolFor(address).call(request, limits);
    if (status !== HTTP_OK) throw new Error(`unexpected HTTP status ${status}`);
    return text;
  }
}
