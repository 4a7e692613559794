/** Public surface: the key-value service of the platform. */
export {
  StoreErrorCode,
  type Change,
  type Entry,
  type Store,
  type StoreError,
  type SwapOutcome,
  type Watch,
} from './store';
export { EtcdStore, type EtcdStoreOptions } from './etcdStore';
