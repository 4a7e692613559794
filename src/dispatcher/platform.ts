/** Interfaces of the platform that the dispatcher runs on. An adapter implements them. */
import type { Result } from 'ts-results';
import type { WorkerEntry } from '../cells/worker';
import type { Change, Entry, Store, StoreError, Watch } from '../store/store';
import type { QueueConfiguration } from './jobs/queueTable';
import type { WorkerClient } from './ownership/workerClient';

/** Store operations that coordination between hosts needs. */
export interface RecordStore extends Pick<Store, 'list' | 'swap' | 'close'> {
  /**
   * Reads the entries with a prefix, passes them to `onOpen`, and reports each change after that.
   * Calls `onEnd` once the watch has failed, also if the entries could not be read.
   */
  watch(
    prefix: string,
    onChange: (change: Change) => void,
    onEnd: () => void,
    onOpen: (entries: readonly Entry[]) => void,
  ): Watch;
}

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
