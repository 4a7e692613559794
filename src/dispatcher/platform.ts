/** Interfaces of the platform that the dispatcher runs on. An adapter implements them. */
import type { Result } from 'ts-results';
import type { WorkerEntry } from '../cells/worker';
import type { Change, Entry, Store, StoreError, Watch } from '../store/store';
import type { DomainDrain } from './drainedDomains';
import type { QueueConfiguration } from './jobs/queueTable';
import type { WorkerClient } from './ownership/workerClient';

/** Store operations that coordination between hosts needs. */
export interface RecordStore extends Pick<Store, 'swap' | 'close'> {
  /**
   * Reads the entries with a prefix, passes them to `onOpen`, and reports each change after that.
   * Calls `onEnd` once the watch has failed, also if the entries could not be read, with the
   * reason.
   */
  watch(
    prefix: string,
    onChange: (change: Change) => void,
    onEnd: (reason: string) => void,
    onOpen: (entries: readonly Entry[]) => void,
  ): Watch;
}

/** Receives what the operators have written. */
export interface OperatorListener {
  /** Called with the current configuration and each later one. */
  configurationRead(configuration: QueueConfiguration): void;
  /** Called with the drained domains at a revision of the store; the others are not drained. */
  drainsRead(drains: readonly DomainDrain[], revision: number): void;
  /** Called with each later beginning and end of a drain. */
  drainChanged(drain: DomainDrain): void;
}

/** Source of the operators' configurations and drains. The platform keeps the newest ones. */
export interface ConfigurationSource {
  subscribe(listener: OperatorListener): void;
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
