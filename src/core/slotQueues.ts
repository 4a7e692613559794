/** Slot requests that wait at a scheduler, by kind of work and by host. */
import { LeafQueue, type QueuedRequest } from './leafQueue';

/** The queues of a scheduler, and an index of its requests by host. */
export class SlotQueues {
  readonly #leaves = new Map<string, LeafQueue>();

  readonly #byHost = new Map<string, Map<number, QueuedRequest>>();

  #tasks = 0;

  leaves(): IterableIterator<LeafQueue> {
    return this.#leaves.values();
  }

  /** Queues with waiting tasks. */
  nonEmpty(): readonly LeafQueue[] {
    return [...this.#leaves.values()].filter(({ tasks }) => tasks > 0);
  }

  leaf(key: string): LeafQueue | undefined {
    return this.#leaves.get(key);
  }

  /** Hosts with waiting requests. */
  hosts(): readonly string[] {
    return [...this.#byHost.keys()];
  }

  has(host: string, requestId: number): boolean {
    return this.#byHost.get(host)?.has(requestId) ?? false;
  }

  add(request: QueuedRequest, team: string, kind: string): void {
    let queue = this.#leaves.get(request.leaf);
    if (!queue) {
      queue = new LeafQueue(request.leaf, team, kind);
      this.#leaves.set(request.leaf, queue);
    }
    queue.push(request);
    this.#tasks += request.count;
    const requests = this.#byHost.get(request.host) ?? new Map<number, QueuedRequest>();
    requests.set(request.requestId, request);
    this.#byHost.set(request.host, requests);
  }

  /** Deducts `count` slots from a request, after a grant or a cancellation. */
  take(request: QueuedRequest, count: number): void {
    this.#tasks -= this.#leaves.get(request.leaf)?.take(request, count) ?? 0;
    if (request.count === 0) this.#byHost.get(request.host)?.delete(request.requestId);
  }

  /** Cancels up to `count` slots of a request. Returns how many were cancelled. */
  cancel(host: string, requestId: number, count: number): number {
    const request = this.#byHost.get(host)?.get(requestId);
    if (!request) return 0;
    const before = request.count;
    this.take(request, Math.min(count, before));
    return before - request.count;
  }

  removeHost(host: string): void {
    const requests = this.#byHost.get(host);
    if (!requests) return;
    [...requests.values()].forEach((request) => this.take(request, request.count));
    this.#byHost.delete(host);
  }

  clear(): void {
    this.#leaves.clear();
    this.#byHost.clear();
    this.#tasks = 0;
  }

  /** Number of waiting tasks. */
  tasks(): number {
    return this.#tasks;
  }

  /** Number of waiting tasks of one team. */
  tasksOfTeam(team: string): number {
    let sum = 0;
    this.#leaves.forEach((queue) => {
      if (queue.team === team) sum += queue.tasks;
    });
    return sum;
  }
}
