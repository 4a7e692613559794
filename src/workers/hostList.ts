/** The platform's list of worker hosts. It lags behind the truth. */

/** One worker host in the list. */
export interface HostListEntry {
  readonly id: string;
  readonly domain: string;
  readonly rack: string;
  /** `ip:port` of the worker's HTTP interface. */
  readonly address: string;
  readonly state: 'live' | 'leaving';
}

/** Reads the host list of one domain. */
export interface HostList {
  /** The entries, `unchanged` since the last read, or null when the list can't be read. */
  read(domain: string): Promise<readonly HostListEntry[] | 'unchanged' | null>;
  close(): Promise<void>;
}
