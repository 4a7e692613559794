/** Clients of the platform's workers and of its host list. */
export * from './workers';
export * from './hostList';
export { HttpWorkers, DEFAULT_WORKERS_OPTIONS } from './httpWorkers';
export type { HttpWorkersOptions } from './httpWorkers';
export { HttpHostList, DEFAULT_HOST_LIST_OPTIONS } from './httpHostList';
export type { HttpHostListOptions } from './httpHostList';
