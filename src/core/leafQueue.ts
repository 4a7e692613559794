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
  count: number;
}

type Heap = TinyQueue<QueuedRequest>;

function createHeap(): Heap {
  return new TinyQueue<QueuedRequest>([], (a, b) => a.dueAtMs - b.dueAtMs);
}

/** The first request that still wants slots; those that do not are dropped. */
function headOf(heap: Heap): QueuedRequest | undefined {
  let head = heap.peek();
  while (head && head.count === 0) {
    heap.pop();
    head = heap.peek();
  }
  return head;
}

/** The first of up to `tries` requests that is accepted; the heap is left as it was. */
function firstIn(
  heap: Heap,
  accepts: (request: QueuedRequest) => boolean,
  tries: number,
): QueuedRequest | undefined {
  const skipped: QueuedRequest[] = [];
  let head = headOf(heap);
  while (head && skipped.length < tries && !accepts(head)) {
    heap.pop();
    skipped.push(head);
    head = headOf(heap);
  }
  skipped.forEach((request) => heap.push(request));
  return skipped.length < tries ? head : undefined;
}

/**
 * Requests of one kind of one team, kept by host: a host whose requests can't be served now, because
 * it has its limit of slots per worker, must not hold up those of the others.
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

  /** Tasks that wait. */
  get tasks(): number {
    return this.#tasks;
  }

  push(request: QueuedRequest): void {
    const heap = this.#heaps.get(request.host) ?? createHeap();
    heap.push(request);
    this.#heaps.set(request.host, heap);
    this.#tasks += request.count;
  }

  /** The request that is due first. */
  peek(): QueuedRequest | undefined {
    return this.#earliest(new Set());
  }

  /**
   * The request that is due first among those accepted; of each host up to `tries` are tried. Hosts
   * without one are added to `blocked`, which is not looked at again.
   */
  firstWhere(
    accepts: (request: QueuedRequest) => boolean,
    tries: number,
    blocked: Set<string>,
  ): QueuedRequest | undefined {
    let head = this.#earliest(blocked);
    while (head) {
      const heap = this.#heaps.get(head.host);
      const found = heap && firstIn(heap, accepts, tries);
      if (found) return found;
      blocked.add(head.host);
      head = this.#earliest(blocked);
    }
    return undefined;
  }

  /** Takes up to `count` slots off a request; returns how many. */
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
