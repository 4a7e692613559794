/** Interface of the platform's list of worker hosts. The list may be out of date. */

/** A worker host in the list. */
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
  /**
   * Returns the entries, `unchanged` if they are the same as at the last read, or null if the list
   * cannot be read.
   */
  read(domain: string): Promise<readonly HostListEntry[] | 'unchanged' | null>;
  close(): Promise<void>;
}
