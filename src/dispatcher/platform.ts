/** Interfaces of the platform that the dispatcher runs on. An adapter implements them. */
import type { Result } from 'ts-results';
import type { WorkerEntry } from '../cells/worker';
import type { Store, StoreError } from '../store/store';
import type { QueueConfiguration } from './jobs/queueTable';
import type { WorkerClient } from './ownership/workerClient';

/** Store operations that coordination between hosts needs. */
export type RecordStore = Pick<Store, 'list' | 'swap' | 'watch' | 'close'>;

/** Source of the operators' configurations. The platform keeps the newest one. */
export interface ConfigurationSource {
  /** Calls `onChange` with the current configuration and each later one. */
  subscribe(onChange: (configuration: QueueConfiguration) => void): void;
  close(): void;
}

/** Directory of the platform's workers. */
export interface WorkerDirectory {
  list(): Promise<Result<readonly WorkerEntry[], StoreError>>;
}

/** Services of a platform. */
export interface Platform {
  readonly store: RecordStore;
  readonly configurations: ConfigurationSource;
  readonly workers: WorkerDirectory;
  readonly workerClient: WorkerClient;
}
