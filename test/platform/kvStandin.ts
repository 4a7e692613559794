/**
 * Simulates the platform's store over HTTP: paged reads, watches and conditional writes. Tests can
 * switch on outages and lost replies.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { text } from 'node:stream/consumers';
import { setTimeout as sleep } from 'node:timers/promises';

interface Item {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
}

interface ChangeEvent extends Partial<Item> {
  readonly key: string;
  readonly revision: number;
  readonly removed?: true;
}

/** Faults that tests can switch on. */
export interface StoreFaults {
  /** Every call is answered with 503. */
  busy: boolean;
  /** No call is answered. */
  silent: boolean;
  /** Writes are applied but not answered. */
  losesWriteAnswers: boolean;
  /** Watch calls are answered with 410, as if the store no longer had the requested history. */
  forgetsHistory: boolean;
}

/** Limits of replies to reads that tests can set; null for none. */
export interface ReplyLimits {
  bytesPerSecond: number | null;
  /** Replies stop after this many bytes, without a close. */
  stallsAfterBytes: number | null;
}

const PAGE_SIZE = 10;
/** Period at which the parts of a slow reply are sent. */
const PART_PERIOD_MS = 20;

async function readJson(request: IncomingMessage): Promise<Record<string, unknown>> {
  return JSON.parse((await text(request)) || '{}') as Record<string, unknown>;
}

function send(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

/** Sends a reply in parts, at the speed and up to the length that the limits set. */
async function sendSlowly(
  response: ServerResponse,
  body: unknown,
  { bytesPerSecond, stallsAfterBytes }: ReplyLimits,
): Promise<void> {
  const bytes = Buffer.from(JSON.stringify(body));
  const partBytes = Math.ceil(((bytesPerSecond ?? Infinity) * PART_PERIOD_MS) / 1000);
  const endAt = Math.min(bytes.length, stallsAfterBytes ?? bytes.length);
  response.writeHead(200, { 'content-length': bytes.length });
  for (let at = 0; at < endAt && !response.destroyed; at += partBytes) {
    response.write(bytes.subarray(at, Math.min(at + partBytes, endAt)));
    // eslint-disable-next-line no-await-in-loop -- one part after the other
    await sleep(PART_PERIOD_MS);
  }
  if (endAt === bytes.length) response.end();
}

/** The simulated store. Tests write as operator or worker with `put` and `remove`. */
export class KvStandin {
  readonly faults: StoreFaults = {
    busy: false,
    silent: false,
    losesWriteAnswers: false,
    forgetsHistory: false,
  };

  readonly replyLimits: ReplyLimits = { bytesPerSecond: null, stallsAfterBytes: null };

  readonly #items = new Map<string, Item>();

  readonly #events: ChangeEvent[] = [];

  readonly #waitingWatches = new Set<() => void>();

  readonly #server: Server;

  #revision = 1;

  calls = 0;

  /** Entries sent in replies to reads and watches. */
  entriesSent = 0;

  constructor() {
    this.#server = createServer((request, response) => {
      this.#handleRequest(request, response).catch(() => response.destroy());
    });
  }

  async open(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  put(key: string, value: string): void {
    this.#set(key, Buffer.from(value).toString('base64'));
    this.#wakeWatches();
  }

  /** True if there is a key with this prefix. */
  has(prefix: string): boolean {
    return [...this.#items.keys()].some((key) => key.startsWith(prefix));
  }

  remove(key: string): void {
    this.#revision += 1;
    this.#items.delete(key);
    this.#events.push({ key, revision: this.#revision, removed: true });
    this.#wakeWatches();
  }

  #set(key: string, value: string): void {
    this.#revision += 1;
    const item = { key, value, revision: this.#revision };
    this.#items.set(key, item);
    this.#events.push(item);
  }

  #wakeWatches(): void {
    const waiting = [...this.#waitingWatches];
    this.#waitingWatches.clear();
    waiting.forEach((wake) => wake());
  }

  async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.calls += 1;
    const body = await readJson(request);
    if (this.faults.silent) return;
    if (this.faults.busy) {
      send(response, 503, {});
      return;
    }
    const url = new URL(request.url ?? '', 'http://store');
    if (url.pathname === '/wasabiyoke/kv-range') this.#range(url, response);
    else if (url.pathname === '/wasabiyoke/kv-watch') this.#watch(url, response);
    else if (url.pathname === '/wasabiyoke/kv-txn') this.#write(body, response);
    else send(response, 404, {});
  }

  #sendRead(response: ServerResponse, body: unknown): void {
    const { bytesPerSecond, stallsAfterBytes } = this.replyLimits;
    if (bytesPerSecond === null && stallsAfterBytes === null) send(response, 200, body);
    else sendSlowly(response, body, this.replyLimits).catch(() => response.destroy());
  }

  #range(url: URL, response: ServerResponse): void {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = url.searchParams.get('after') ?? '';
    const found = [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const items = found.slice(0, PAGE_SIZE);
    const hasMore = found.length > PAGE_SIZE;
    this.entriesSent += items.length;
    this.#sendRead(response, { items, hasMore, storeRevision: this.#revision });
  }

  #watch(url: URL, response: ServerResponse): void {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    const untilMs = Date.now() + Number(url.searchParams.get('waitMs'));
    if (this.faults.forgetsHistory) {
      send(response, 410, {});
      return;
    }
    const answer = () => {
      if (response.headersSent) return;
      const events = this.#events.filter(
        ({ key, revision }) => key.startsWith(prefix) && revision > after,
      );
      if (events.length > 0 || Date.now() >= untilMs) {
        this.entriesSent += events.length;
        this.#sendRead(response, { events, storeRevision: this.#revision });
      } else {
        this.#waitingWatches.add(answer);
        setTimeout(answer, untilMs - Date.now()).unref();
      }
    };
    answer();
  }

  #write(body: Record<string, unknown>, response: ServerResponse): void {
    const expected = body.expectedRev as { key: string; revision: number }[];
    const puts = body.puts as { key: string; value: string }[];
    const hasConflict = expected.some(
      ({ key, revision }) => (this.#items.get(key)?.revision ?? 0) !== revision,
    );
    if (hasConflict) {
      const items = expected.flatMap(({ key }) => this.#items.get(key) ?? []);
      send(response, 412, { items });
      return;
    }
    puts.forEach(({ key, value }) => this.#set(key, value));
    this.#wakeWatches();
    if (!this.faults.losesWriteAnswers) send(response, 200, { revision: this.#revision });
  }
}
