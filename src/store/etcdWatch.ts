/** A watch on a key prefix, on its own stream. It is not reopened when the stream breaks. */
import { Metadata, type ClientDuplexStream } from '@grpc/grpc-js';
import type { Endpoints } from './endpoints';
import {
  EventType,
  WATCH,
  rangeEnd,
  toBytes,
  type WatchRequest,
  type WatchResponse,
} from './etcdApi';
import { toEntry } from './entry';
import type { Change, Watch } from './store';

/** Callbacks of a watch. */
export interface WatchHandlers {
  onChange(change: Change): void;
  onEnd(): void;
  onOpen(): void;
}

/** Watches until the stream breaks or `close` is called; `close` suppresses all later callbacks. */
export class EtcdWatch implements Watch {
  readonly #handlers: WatchHandlers;

  #stream: ClientDuplexStream<WatchRequest, WatchResponse> | null = null;

  #ended = false;

  constructor(endpoints: Endpoints, prefix: string, timeoutMs: number, handlers: WatchHandlers) {
    this.#handlers = handlers;
    this.#open(endpoints, prefix, timeoutMs);
  }

  close(): void {
    this.#ended = true;
    this.#stream?.cancel();
  }

  async #open(endpoints: Endpoints, prefix: string, timeoutMs: number): Promise<void> {
    const client = await endpoints.connect(timeoutMs);
    if (this.#ended) return;
    if (!client) {
      this.#end();
      return;
    }
    const stream = client.makeBidiStreamRequest(
      WATCH.path,
      WATCH.requestSerialize,
      WATCH.responseDeserialize,
      new Metadata(),
    );
    const onStreamEnd = () => {
      if (!this.#ended) endpoints.switchFrom(client);
      this.#end();
    };
    stream.on('error', onStreamEnd);
    stream.on('end', onStreamEnd);
    stream.on('data', (response: WatchResponse) => this.#onResponse(response));
    stream.write({ createRequest: { key: toBytes(prefix), rangeEnd: rangeEnd(prefix) } });
    this.#stream = stream;
  }

  #onResponse({ created, canceled, events }: WatchResponse): void {
    if (this.#ended) return;
    if (canceled) {
      this.#end();
      return;
    }
    if (created) this.#handlers.onOpen();
    events?.forEach(({ type, kv }) => {
      if (this.#ended || !kv) return;
      const entry = toEntry(kv);
      const deleted = type === EventType.DELETE;
      this.#handlers.onChange({ key: entry.key, entry: deleted ? null : entry });
    });
  }

  #end(): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#stream?.cancel();
    this.#handlers.onEnd();
  }
}
