/** Schema of the settings file of an entry host: sections, keys, types and defaults. */
import { z } from 'zod';
import { ALL_GUARDS, DEFAULT_OPTIONS } from '../core/options';
import {
  addressList,
  durationMs,
  fraction,
  httpUrl,
  listenAddress,
  metricPrefix,
  name,
  onOff,
  oneOf,
  optionalAddress,
  reachableAddress,
  sampling,
  wholeNumber,
} from './fields';

const MEBIBYTE = 1024 * 1024;

/** Log levels, from most to least verbose. */
export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const;
export type LogLevel = (typeof LOG_LEVELS)[number];

const host = z.strictObject({ id: name(), service: name(), region: name(), domain: name() });

const listen = z
  .strictObject({
    callerAddress: listenAddress(),
    operatorAddress: listenAddress(),
    peerAddress: reachableAddress(),
  })
  .superRefine(({ callerAddress, operatorAddress, peerAddress }, context) => {
    const message = 'an address that no other key of the section has';
    if (operatorAddress === callerAddress) {
      context.addIssue({ code: 'custom', path: ['operatorAddress'], message });
    }
    if (peerAddress === callerAddress || peerAddress === operatorAddress) {
      context.addIssue({ code: 'custom', path: ['peerAddress'], message });
    }
  });

const peers = z.strictObject({ seeds: addressList(0).default([]) });

const store = z.strictObject({ endpoints: addressList(1), timeoutMs: durationMs().default(1000) });

const hostList = z.strictObject({ url: httpUrl(), pollMs: durationMs(100).default(1000) });

const caller = z
  .strictObject({
    bodyBytes: wholeNumber(1024, 256 * MEBIBYTE).default(4 * MEBIBYTE),
    headerBytes: wholeNumber(1024, MEBIBYTE).default(16 * 1024),
    connections: wholeNumber(1, 100_000).default(10_000),
    requestTimeoutMs: durationMs().default(10_000),
    headerTimeoutMs: durationMs().default(5000),
    drainGraceMs: durationMs(0).default(5000),
  })
  .superRefine(({ requestTimeoutMs, headerTimeoutMs }, context) => {
    if (headerTimeoutMs <= requestTimeoutMs) return;
    const message = `at most requestTimeoutMs, which is ${requestTimeoutMs}`;
    context.addIssue({ code: 'custom', path: ['headerTimeoutMs'], message });
  });

const core = z.strictObject({
  taskLeaseMs: durationMs(100).default(DEFAULT_OPTIONS.taskLeaseMs),
  keyLifetimeMs: durationMs(1000).default(DEFAULT_OPTIONS.keyLifetimeMs),
  answerBytesLimit: wholeNumber(0, 1024 * MEBIBYTE).default(DEFAULT_OPTIONS.answerBytesLimit),
  summaryPeriodMs: durationMs(10).default(DEFAULT_OPTIONS.summaryPeriodMs),
  statusPeriodMs: durationMs(100).default(DEFAULT_OPTIONS.statusPeriodMs),
  reserveFraction: fraction().default(DEFAULT_OPTIONS.reserveFraction),
  longTaskMs: durationMs().default(DEFAULT_OPTIONS.longTaskMs),
  longTaskFraction: fraction().default(DEFAULT_OPTIONS.longTaskFraction),
  pauseGapMs: durationMs(50).default(DEFAULT_OPTIONS.pauseGapMs),
  retryFraction: fraction().default(DEFAULT_OPTIONS.retryFraction),
  retryBurst: wholeNumber(0, 100_000).default(DEFAULT_OPTIONS.retryBurst),
});

const guards = z.strictObject({
  reserve: onOff().default(ALL_GUARDS.reserve),
  longTaskCap: onOff().default(ALL_GUARDS.longTaskCap),
  admission: onOff().default(ALL_GUARDS.admission),
  health: onOff().default(ALL_GUARDS.health),
  slowStart: onOff().default(ALL_GUARDS.slowStart),
  spill: onOff().default(ALL_GUARDS.spill),
  learnedRunTimes: onOff().default(ALL_GUARDS.learnedRunTimes),
  retryBudget: onOff().default(ALL_GUARDS.retryBudget),
  pauseGuard: onOff().default(ALL_GUARDS.pauseGuard),
});

const log = z.strictObject({
  level: oneOf(LOG_LEVELS).default('info'),
  decisions: sampling().default(1),
});

const metrics = z.strictObject({
  statsdAddress: optionalAddress().default(null),
  prefix: metricPrefix().default('wasabiyoke'),
});

/** Schema of the whole file. The input is an object of sections with the text of their values. */
export const settingsSchema = z.strictObject({
  host,
  listen,
  peers,
  store,
  hostList,
  caller,
  core,
  guards,
  log,
  metrics,
});

/**
 * Settings of an entry host process. `log.decisions` is the fraction of decisions that are logged;
 * `metrics.statsdAddress` is null when metrics are disabled.
 */
export type Settings = Readonly<z.output<typeof settingsSchema>>;

/** Keys of each section, in schema order. */
export const SETTINGS_KEYS: ReadonlyMap<string, readonly string[]> = new Map(
  Object.entries(settingsSchema.shape).map(([section, schema]) => [
    section,
    Object.keys(schema.shape),
  ]),
);
