/**
 * Slot requests of one kind of a team that wait. Within a queue the request with the earliest
 * due time goes first; the due time is the arrival plus the expected run time of the job's longest
 * task, so that short jobs do not wait behind long ones and no job waits for ever.
 */
import TinyQueue from 'tinyqueue';
import type { Resources } from './job';

/** A request in a queue; `count` falls as slots are granted or withdrawn. */
export interface QueuedRequest {
  readonly host: string;
  readonly requestId: number;
  readonly leaf: string;
  readonly resources: Resources;
  readonly dueAtMs: number;
  readonly arrivedAtMs: number;
  readonly begun: boolean;
  count: number;
}

/** Requests of one kind of one team. */
export class LeafQueue {
  readonly leaf: string;

  readonly team: string;

  readonly kind: string;

  #heap = new TinyQueue<QueuedRequest>([], (a, b) => a.dueAtMs - b.dueAtMs);

  #tasks = 0;

  constructor(leaf: string, team: string, kind: string) {
    this.leaf = leaf;
    this.team = team;
    this.kind = kind;
  }

  /** Tasks that wait. */
  get tasks(): number {
    return this.#tasks;
  }

  push(request: QueuedRequest): void {
    this.#heap.push(request);
    this.#tasks += request.count;
  }

  /** The request that is served next. */
  peek(): QueuedRequest | undefined {
    let head = this.#heap.peek();
    while (head && head.count === 0) {
      this.#heap.pop();
      head = this.#heap.peek();
    }
    return head;
  }

  /** Sets the requests aside that come first but can't be placed; returns the next one that can. */
  firstWhere(
    accepts: (request: QueuedRequest) => boolean,
    limit: number,
  ): QueuedRequest | undefined {
    const skipped: QueuedRequest[] = [];
    let head = this.peek();
    while (head && skipped.length < limit && !accepts(head)) {
      this.#heap.pop();
      skipped.push(head);
      head = this.peek();
    }
    skipped.forEach((request) => this.#heap.push(request));
    return skipped.length < limit ? head : undefined;
  }

  /** Takes up to `count` slots off a request; returns how many. */
  take(request: QueuedRequest, count: number): number {
    const taken = Math.min(count, request.count);
    Object.assign(request, { count: request.count - taken });
    this.#tasks -= taken;
    return taken;
  }
}
