/** Client of the platform's key-value store. */
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
