/**
 * Stand-in for the platform's key-value service: a gRPC server on 127.0.0.1 that speaks the published
 * calls, keeps its state in memory, and has faults that a test or a trial switches on.
 */
import {
  Server,
  ServerCredentials,
  status,
  type ServerDuplexStream,
  type sendUnaryData,
  type ServerUnaryCall,
} from '@grpc/grpc-js';
import type { Clock } from '../core/clock';
import {
  EventType,
  KEEP_ALIVE,
  LEASE_GRANT,
  LEASE_REVOKE,
  PUT,
  RANGE,
  TXN,
  WATCH,
  toBytes,
  type KeepAliveRequest,
  type KeepAliveResponse,
  type WatchRequest,
  type WatchResponse,
} from '../store/etcdApi';
import type { Change } from '../store/store';
import { StoreEffects, inRange, toKeyValue } from './storeEffects';
import { StoreFaults, type StoreCall } from './storeFaults';
import { Refusal } from './storeRefusal';
import { StoreState } from './storeState';

type WatchStream = ServerDuplexStream<WatchRequest, WatchResponse>;
type KeepAliveStream = ServerDuplexStream<KeepAliveRequest, KeepAliveResponse>;

const HOST = '127.0.0.1';

const SERVICE = {
  range: RANGE,
  put: PUT,
  txn: TXN,
  leaseGrant: LEASE_GRANT,
  leaseRevoke: LEASE_REVOKE,
  leaseKeepAlive: KEEP_ALIVE,
  watch: WATCH,
};

function toResponse({ key, entry }: Change, revision: number): WatchResponse {
  const event =
    entry === null
      ? { type: EventType.DELETE, kv: { key: toBytes(key), modRevision: revision } }
      : { type: EventType.PUT, kv: toKeyValue(entry) };
  return { header: { revision }, events: [event] };
}

function toStatus(error: unknown) {
  const code = error instanceof Refusal ? error.code : status.INTERNAL;
  return { code, details: error instanceof Error ? error.message : String(error) };
}

/** The stand-in. Leases lapse by the given clock, at the next call or at `expireLeases`. */
export class StoreServer {
  readonly faults = new StoreFaults();

  readonly state: StoreState;

  readonly #effects: StoreEffects;

  #server: Server | null = null;

  #port = 0;

  constructor(clock: Clock) {
    this.state = new StoreState(clock);
    this.#effects = new StoreEffects(this.state);
  }

  /** `host:port` of the running server. */
  get address(): string {
    return `${HOST}:${this.#port}`;
  }

  /** Starts to listen; port 0 takes a free one. Resolves to the port. */
  async start(port = 0): Promise<number> {
    const server = new Server();
    server.addService(SERVICE, this.#handlers());
    this.#port = await new Promise<number>((resolve, reject) => {
      server.bindAsync(`${HOST}:${port}`, ServerCredentials.createInsecure(), (error, bound) => {
        if (error) reject(error);
        else resolve(bound);
      });
    });
    this.#server = server;
    return this.#port;
  }

  /** Ends lapsed leases, so that watches see their keys go. */
  expireLeases(): void {
    this.state.expire();
  }

  /** Drops all connections and refuses new ones; the state stays. */
  cut(): void {
    this.faults.cut();
    this.#server?.forceShutdown();
    this.#server = null;
  }

  /** Ends all faults; after `cut` it listens on the same port again. */
  async mend(): Promise<void> {
    this.faults.mend();
    if (this.#server === null) await this.start(this.#port);
  }

  async close(): Promise<void> {
    this.cut();
    this.faults.mend();
  }

  #handlers() {
    const effects = this.#effects;
    return {
      range: this.#unary('range', (request: object) => effects.range(request)),
      put: this.#unary('put', (request: object) => effects.put(request)),
      txn: this.#unary('txn', (request: object) => effects.txn(request)),
      leaseGrant: this.#unary('leaseGrant', (request: object) => effects.grant(request)),
      leaseRevoke: this.#unary('leaseRevoke', (request: object) => effects.revoke(request)),
      leaseKeepAlive: (stream: KeepAliveStream) => this.#keepAlive(stream),
      watch: (stream: WatchStream) => this.#watch(stream),
    };
  }

  #unary<Q, S>(name: StoreCall, effect: (request: Q) => S) {
    return (call: ServerUnaryCall<Q, S>, callback: sendUnaryData<S>): void => {
      this.#run(name, () => effect(call.request)).then(
        (response) => callback(null, response),
        (error: unknown) => callback(toStatus(error)),
      );
    };
  }

  /** Runs a call under the faults that are on. */
  async #run<S>(name: StoreCall, effect: () => S): Promise<S> {
    this.faults.count(name);
    if (this.faults.refuses) {
      throw new Refusal(status.RESOURCE_EXHAUSTED, 'etcdserver: too many requests');
    }
    const { restarts } = this.state;
    const { delayMs } = this.faults;
    if (delayMs > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, delayMs);
      });
    }
    await this.faults.thawed;
    if (this.state.restarts !== restarts) throw new Refusal(status.UNAVAILABLE, 'restarted');
    const response = effect();
    if (this.faults.takeLostAnswer()) throw new Refusal(status.UNAVAILABLE, 'answer lost');
    return response;
  }

  #keepAlive(stream: KeepAliveStream): void {
    stream.on('data', ({ ID }: KeepAliveRequest) => {
      const renew = () => ({ ID, TTL: Math.ceil(this.state.renew(ID ?? 0) / 1000) });
      this.#run('leaseKeepAlive', renew).then(
        (response) => stream.write(response),
        (error: unknown) => stream.emit('error', toStatus(error)),
      );
    });
    stream.on('end', () => stream.end());
  }

  #watch(stream: WatchStream): void {
    let unwatch = () => {};
    stream.on('data', ({ createRequest }: WatchRequest) => {
      if (!createRequest) return;
      const begin = () => {
        unwatch = this.state.watch('', (change, revision) => {
          if (inRange(change.key, createRequest)) this.#send(stream, toResponse(change, revision));
        });
        return { header: { revision: this.state.revision }, created: true };
      };
      this.#run('watch', begin).then(
        (response) => stream.write(response),
        (error: unknown) => stream.emit('error', toStatus(error)),
      );
    });
    stream.on('end', () => stream.end());
    stream.on('close', () => unwatch());
    stream.on('cancelled', () => unwatch());
  }

  #send(stream: WatchStream, response: WatchResponse): void {
    if (this.faults.isFrozen) this.faults.thawed.then(() => stream.write(response));
    else stream.write(response);
  }
}
