/** Test hosts on the loopback interface with a handler that records what it receives. */
import { EventEmitter, once } from 'node:events';
import type { JobAnswer, JobSpec } from '../../src/core/job';
import type { PeerMessage } from '../../src/core/messages';
import { GrpcTransport, type PeerHandler, type PeerOrigin } from '../../src/peers';
import type { TransportOptions } from '../../src/peers/transportOptions';

export const resources = { cores: 0.5, memoryMb: 512, accelerators: 0 };

export const job: JobSpec = {
  team: 'kiosk',
  kind: 'settle',
  deadlineMs: 1500.5,
  resources,
  tasks: [
    { id: 'a', payload: { amount: 12, note: 'ж', list: [null, false] }, declaredMs: 80 },
    { id: 'b', payload: undefined },
  ],
};

export const answer: JobAnswer = {
  outcome: 'failed',
  key: 'k',
  notRun: false,
  reason: 'task-failed',
  retryAfterMs: 250,
  tasks: [
    { id: 'a', state: 'succeeded', result: { door: 7 } },
    { id: 'b', state: 'failed', error: 'jammed' },
  ],
};

/** Records messages, and answers forwarded jobs with `answer` unless told otherwise. */
export class RecordingHandler extends EventEmitter implements PeerHandler {
  readonly batches: { from: PeerOrigin; messages: readonly PeerMessage[] }[] = [];

  readonly jobs: JobSpec[] = [];

  #reply: (() => Promise<JobAnswer>) | null = null;

  /** Thrown by `onMessages` for the next batch. */
  #fault: Error | null = null;

  replyWith(reply: () => Promise<JobAnswer>): void {
    this.#reply = reply;
  }

  failOnce(fault: Error): void {
    this.#fault = fault;
  }

  get messages(): readonly PeerMessage[] {
    return this.batches.flatMap(({ messages }) => messages);
  }

  onMessages(from: PeerOrigin, messages: readonly PeerMessage[]): void {
    this.batches.push({ from, messages });
    this.emit('change');
    const fault = this.#fault;
    this.#fault = null;
    if (fault !== null) throw fault;
  }

  async onForward(key: string, forwarded: JobSpec): Promise<JobAnswer> {
    this.jobs.push(forwarded);
    this.emit('change');
    return { ...(await (this.#reply?.() ?? answer)), key };
  }

  async onForwardCancel(key: string): Promise<JobAnswer> {
    return { ...(await (this.#reply?.() ?? answer)), key, outcome: 'cancelled' };
  }

  async onForwardAwait(key: string): Promise<JobAnswer> {
    return { ...(await (this.#reply?.() ?? answer)), key };
  }

  onStatus(): unknown {
    return { host: 'served', jobs: this.jobs.length };
  }

  /** Resolves once `count` messages have arrived. */
  async received(count: number): Promise<void> {
    if (this.messages.length >= count) return;
    await once(this, 'change');
    await this.received(count);
  }
}

/** A transport that is listening, with its handler. */
export interface TestHost {
  readonly transport: GrpcTransport;
  readonly handler: RecordingHandler;
  readonly address: string;
}

/** Starts a host on a free port unless `more` gives another address. */
export const startHost = async (
  hostId: string,
  more: Partial<TransportOptions> = {},
): Promise<TestHost> => {
  const handler = new RecordingHandler();
  const transport = new GrpcTransport({
    hostId,
    incarnation: `${hostId}-1`,
    listenAddress: '127.0.0.1:0',
    ...more,
  });
  const port = await transport.listen(handler);
  return { transport, handler, address: `127.0.0.1:${port}` };
};

/** Repeats `action` until the condition holds; throws after `attempts`, so that no test hangs. */
export const until = async (
  condition: () => boolean,
  action: () => void,
  attempts = 1000,
): Promise<void> => {
  if (condition()) return;
  if (attempts === 0) throw new Error('the condition was not met within the allowed attempts');
  action();
  await new Promise((resolve) => {
    setTimeout(resolve, 10);
  });
  await until(condition, action, attempts - 1);
};
