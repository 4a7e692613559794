/** Entries of the service as the interface has them. */
import { toText, type KeyValue } from './etcdApi';
import type { Entry } from './store';

/** Reads a key-value pair of the service. */
export function toEntry({ key, value, modRevision }: KeyValue): Entry {
  return { key: toText(key), value: toText(value), modRevision: modRevision ?? 0 };
}
