/** Converts etcd key-value pairs to `Entry`. */
import { toText, type KeyValue } from './etcdApi';
import type { Entry } from './store';

export function toEntry({ key, value, modRevision }: KeyValue): Entry {
  return { key: toText(key), value: toText(value), modRevision: modRevision ?? 0 };
}
