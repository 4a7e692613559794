/**
 * Queue of the slot requests of one team and kind, a leaf of the hierarchy of fair shares. The
 * request with the earliest due time is served first. The due time is the arrival time plus the
 * expected run time of the job's longest task, so that short jobs do not wait behind long ones and
 * none starves.
 */
import TinyQueue from 'tinyqueue';
import type { Resources } from './job';

/** A queued request. `count` is the number of slots not yet granted or cancelled. */
export interface QueuedRequest {
  readonly host: string;
  readonly requestId: number;
  readonly leaf: string;
  readonly resources: Resources;
  readonly dueAtMs: number;
  readonly arrivedAtMs: number;
  count: number;
}

type Heap = TinyQueue<QueuedRequest>;

function createHeap(): Heap {
  return new TinyQueue<QueuedRequest>([], (a, b) => a.dueAtMs - b.dueAtMs);
}

/** The first request that still needs slots. Removes the requests before it, which need none. */
function headOf(heap: Heap): QueuedRequest | undefined {
  let head = heap.peek();
  while (head && head.count === 0) {
    heap.pop();
    head = heap.peek();
  }
  return head;
}

/** The first accepted request among the first `maxTries`. Does not change the heap's contents. */
function firstAccepted(
  heap: Heap,
  accepts: (request: QueuedRequest) => boolean,
  maxTries: number,
): QueuedRequest | undefined {
  const skipped: QueuedRequest[] = [];
  let head = headOf(heap);
  while (head && skipped.length < maxTries && !accepts(head)) {
    heap.pop();
    skipped.push(head);
    head = headOf(heap);
  }
  skipped.forEach((request) => heap.push(request));
  return skipped.length < maxTries ? head : undefined;
}

/**
 * Requests of one team and kind, in one heap per host. A host whose requests can't be served now,
 * because it has reached its limit of slots per worker, must not delay the requests of other hosts.
 */
export class LeafQueue {
  readonly leaf: string;

  readonly team: string;

  readonly kind: string;

  readonly #heaps = new Map<string, Heap>();

  #tasks = 0;

  constructor(leaf: string, team: string, kind: string) {
    this.leaf = leaf;
    this.team = team;
    this.kind = kind;
  }

  /** Number of waiting tasks. */
  get tasks(): number {
    return this.#tasks;
  }

  push(request: QueuedRequest): void {
    const heap = this.#heaps.get(request.host) ?? createHeap();
    heap.push(request);
    this.#heaps.set(request.host, heap);
    this.#tasks += request.count;
  }

  /** The request with the earliest due time. */
  peek(): QueuedRequest | undefined {
    return this.#earliest(new Set());
  }

  /**
   * The accepted request with the earliest due time, among up to `maxTries` requests of each host.
   * Hosts without an accepted request are added to `blocked`; hosts in `blocked` are skipped.
   */
  firstWhere(
    accepts: (request: QueuedRequest) => boolean,
    maxTries: number,
    blocked: Set<string>,
  ): QueuedRequest | undefined {
    let head = this.#earliest(blocked);
    while (head) {
      const heap = this.#heaps.get(head.host);
      const found = heap && firstAccepted(heap, accepts, maxTries);
      if (found) return found;
      blocked.add(head.host);
      head = this.#earliest(blocked);
    }
    return undefined;
  }

  /** Deducts up to `count` slots from a request. Returns how many were deducted. */
  take(request: QueuedRequest, count: number): number {
    const taken = Math.min(count, request.count);
    Object.assign(request, { count: request.count - taken });
    this.#tasks -= taken;
    return taken;
  }

  #earliest(blocked: ReadonlySet<string>): QueuedRequest | undefined {
    let earliest: QueuedRequest | undefined;
    this.#heaps.forEach((heap, host) => {
      if (blocked.has(host)) return;
      const head = headOf(heap);
      if (head === undefined) this.#heaps.delete(host);
      else if (!earliest || head.dueAtMs < earliest.dueAtMs) earliest = head;
    });
    return earliest;
  }
}
