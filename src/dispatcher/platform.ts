/** What the dispatcher needs of the platform that it runs on; an adapter provides it. */
import type { Result } from 'ts-results';
import type { WorkerEntry } from '../cells/worker';
import type { Store, StoreError } from '../store/store';
import type { QueueConfiguration } from './queueTable';
import type { WorkerClient } from './workerClient';

/** The calls of a store that coordination rests on. */
export type RecordStore = Pick<Store, 'list' | 'swap' | 'watch' | 'close'>;

/** Hears of the operators' configurations; the platform keeps the newest one. */
export interface ConfigurationSource {
  /** Calls `onChange` with the present configuration and each later one. */
  subscribe(onChange: (configuration: QueueConfiguration) => void): void;
  close(): void;
}

/** The platform's list of workers. */
export interface WorkerDirectory {
  list(): Promise<Result<readonly WorkerEntry[], StoreError>>;
}

/** One platform. */
export interface Platform {
  readonly store: RecordStore;
  readonly configurations: ConfigurationSource;
  readonly workers: WorkerDirectory;
  readonly workerClient: WorkerClient;
}
