/** A submitter and an owner of a cell on loopback, with a fault proxy between them. */
import { Err } from 'ts-results';
import { request } from 'undici';
import type { BatchOutcome, BatchReason } from '../../src/cells/messages';
import type { SubmitterContact } from '../../src/cells/submitterContact';
import { PeerClient } from '../../src/dispatcher/peers/peerClient';
import type { BatchCall } from '../../src/dispatcher/peers/peerMessages';
import { PeerServer } from '../../src/dispatcher/peers/peerServer';
import type { LogFields } from '../../src/observe/observer';
import { PortBlock } from '../../src/standins/portBlock';
import { batchOf } from '../cells/cellSimulation';
import { FaultProxy } from '../soak/faultProxy';
import { STATUS_REQUEST, STATUS, SUBMITTER } from './peerFixtures';

/** Period at which a host polls a busy owner. */
const POLL_PERIOD_MS = 150;
const CLOCK = { nowMs: () => performance.now(), timeOfDayMs: () => Date.now() };

/** A batch that the owner has withdrawn. */
export interface Withdrawal {
  readonly reason: BatchReason;
  readonly atMs: number;
}

/** A batch sent by the submitter. */
export interface SentBatch {
  readonly batchId: string;
  readonly jobId: string;
  readonly abort: AbortController;
  readonly outcome: Promise<BatchOutcome>;
}

/** Builds a batch call as sent over the wire. */
export function callOf(overrides: Partial<BatchCall> = {}): BatchCall {
  const batch = batchOf();
  return {
    from: SUBMITTER,
    cell: 'bole',
    batch,
    ownerIncarnation: '1',
    isRetry: false,
    ...overrides,
  };
}

/** Both hosts. Batches run at the owner until the test ends them or they are withdrawn. */
export class PeerPair {
  /** Ids of the batches that the owner has started, in order. */
  readonly begun: string[] = [];

  /** The owner's contact with the submitter of each batch. */
  readonly contacts = new Map<string, SubmitterContact>();

  /** When a poll was first answered; null before that. */
  answeredAtMs: number | null = null;

  readonly withdrawals = new Map<string, Withdrawal>();

  /** Log lines of the owner. */
  readonly logLines: { readonly decision: string; readonly fields: LogFields }[] = [];

  readonly client = new PeerClient(CLOCK, { logDecision: () => {} });

  readonly #resolvers = new Map<string, (outcome: BatchOutcome) => void>();

  readonly #server = new PeerServer(
    {
      incarnation: '1',
      status: () => STATUS,
      run: ({ batch }, contact) => {
        this.contacts.set(batch.batchId, contact);
        return this.#run(batch.batchId);
      },
      withdraw: (_, batchId, reason) => {
        this.withdrawals.set(batchId, { reason, atMs: performance.now() });
        this.end(batchId, { type: 'lost', reason, started: null, succeeded: [] });
      },
      summary: () => null,
      runsOf: () => ({ mayRun: false }),
      roomIn: () => null,
      preview: async () => Err('not part of this test'),
      configuration: () => null,
    },
    CLOCK,
    { logDecision: (decision, fields) => this.logLines.push({ decision, fields }) },
  );

  #block: PortBlock | null = null;

  #proxy: FaultProxy | null = null;

  #pollTimer: NodeJS.Timeout | null = null;

  #address = '';

  #directAddress = '';

  /** Address of the owner as the submitter knows it, that of the proxy. */
  get address(): string {
    return this.#address;
  }

  async open(): Promise<void> {
    this.#block = await PortBlock.reserve(2);
    const port = this.#block.ports[1] ?? 0;
    await this.#server.listen('127.0.0.1', port);
    this.#directAddress = `127.0.0.1:${port}`;
    this.#proxy = new FaultProxy(this.#directAddress);
    this.#address = await this.#proxy.open();
  }

  async close(): Promise<void> {
    this.stopPolling();
    await this.client.close();
    this.#proxy?.close();
    this.#server.close();
    await this.#block?.release();
  }

  /** Starts to poll the status periodically, as a host with batches in progress does. */
  startPolling(): void {
    this.#pollTimer = setInterval(() => this.#poll(), POLL_PERIOD_MS);
  }

  async #poll(): Promise<void> {
    const status = await this.client.status(this.#address, STATUS_REQUEST);
    if (typeof status === 'object') this.answeredAtMs ??= performance.now();
  }

  stopPolling(): void {
    if (this.#pollTimer) clearInterval(this.#pollTimer);
    this.#pollTimer = null;
  }

  send(): SentBatch {
    const call = callOf();
    const abort = new AbortController();
    const reply = this.client.run(this.#address, call, abort);
    const { batchId, jobId } = call.batch;
    return { batchId, jobId, abort, outcome: reply.then(({ outcome }) => outcome) };
  }

  /** Makes the existing connections drop all data without a reset; new ones work. */
  silence(): void {
    this.#proxy?.silence();
  }

  end(batchId: string, outcome: BatchOutcome): void {
    this.#resolvers.get(batchId)?.(outcome);
    this.#resolvers.delete(batchId);
  }

  /**
   * Posts a body to the owner, bypassing the submitter and the proxy, and returns the reply's body.
   */
  async post(path: string, body: unknown): Promise<unknown> {
    const response = await request(`http://${this.#directAddress}${path}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
    });
    return response.body.json();
  }

  #run(batchId: string): Promise<BatchOutcome> {
    this.begun.push(batchId);
    return new Promise((resolve) => {
      this.#resolvers.set(batchId, resolve);
    });
  }
}
