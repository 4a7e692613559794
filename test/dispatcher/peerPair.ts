/** A submitter and an owner of a cell on loopback, with a proxy that harms the connections between them. */
import { request } from 'undici';
import type { BatchOutcome, BatchReason } from '../../src/cells/messages';
import type { SubmitterContact } from '../../src/cells/submitterContact';
import { PeerClient } from '../../src/dispatcher/peerClient';
import type { BatchCall } from '../../src/dispatcher/peerMessages';
import { PeerServer } from '../../src/dispatcher/peerServer';
import type { LogFields } from '../../src/observe/observer';
import { PortBlock } from '../../src/standins/portBlock';
import { batchOf } from '../cells/cellSimulation';
import { FaultProxy } from '../soak/faultProxy';
import { QUESTION, STATUS, SUBMITTER } from './peerFixtures';

/** Period at which a host asks an owner at which something runs for it. */
const ASK_PERIOD_MS = 150;
const CLOCK = { nowMs: () => performance.now(), timeOfDayMs: () => Date.now() };

/** A batch that the owner has withdrawn. */
export interface Withdrawal {
  readonly reason: BatchReason;
  readonly atMs: number;
}

/** A batch on its way, or at the owner. */
export interface SentBatch {
  readonly batchId: string;
  readonly jobId: string;
  readonly abort: AbortController;
  readonly outcome: Promise<BatchOutcome>;
}

/** A batch call as it goes over the wire. */
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

/** Both hosts. The owner's batches run until they are ended or withdrawn. */
export class PeerPair {
  /** Batches that the owner has begun, in order. */
  readonly begun: string[] = [];

  /** The owner's contact with the submitter of each batch. */
  readonly contacts = new Map<string, SubmitterContact>();

  /** When a question of `ask` was first answered. */
  answeredAtMs: number | null = null;

  readonly withdrawals = new Map<string, Withdrawal>();

  /** Log of the owner. */
  readonly lines: { readonly decision: string; readonly fields: LogFields }[] = [];

  readonly client = new PeerClient(CLOCK, { logDecision: () => {} });

  readonly #ends = new Map<string, (outcome: BatchOutcome) => void>();

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
      configuration: () => null,
    },
    CLOCK,
    { logDecision: (decision, fields) => this.lines.push({ decision, fields }) },
  );

  #block: PortBlock | null = null;

  #proxy: FaultProxy | null = null;

  #asker: NodeJS.Timeout | null = null;

  #address = '';

  #directAddress = '';

  /** Address of the owner as the submitter knows it. */
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
    this.stopAsking();
    await this.client.close();
    this.#proxy?.close();
    this.#server.close();
    await this.#block?.release();
  }

  /** The submitter asks for the status from now on, as a host with batches in progress does. */
  ask(): void {
    this.#asker = setInterval(() => this.#askOnce(), ASK_PERIOD_MS);
  }

  async #askOnce(): Promise<void> {
    const status = await this.client.status(this.#address, QUESTION);
    if (typeof status === 'object') this.answeredAtMs ??= performance.now();
  }

  stopAsking(): void {
    if (this.#asker) clearInterval(this.#asker);
    this.#asker = null;
  }

  send(): SentBatch {
    const call = callOf();
    const abort = new AbortController();
    const reply = this.client.run(this.#address, call, abort);
    const { batchId, jobId } = call.batch;
    return { batchId, jobId, abort, outcome: reply.then(({ outcome }) => outcome) };
  }

  /** The connections that exist now go silent without a reset; new ones work. */
  silence(): void {
    this.#proxy?.silence();
  }

  end(batchId: string, outcome: BatchOutcome): void {
    this.#ends.get(batchId)?.(outcome);
    this.#ends.delete(batchId);
  }

  /** Sends a call to the owner as it is, past the submitter and the proxy; returns the reply's body. */
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
      this.#ends.set(batchId, resolve);
    });
  }
}
