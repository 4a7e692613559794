/** Decision code of an entry host, without I/O. */
export type { Clock, RandomSource } from './clock';
export type { Core, CoreAction, CoreEvent } from './events';
export { TICK_MS } from './events';
export { HostCore, type HostCoreParts } from './hostCore';
export * from './job';
export { ALL_GUARDS, DEFAULT_OPTIONS, type CoreOptions, type Guards } from './options';
export { parseKey, type KeyParts } from './submissionKey';
export type { HostView, QueueState, SchedulerView, SubmitterView, WorkerCondition } from './views';
