/** Observability: log, decision log and metrics. */
export { SampledDecisionLog } from './decisionLog';
export { NO_METRICS } from './noMetrics';
export type { Decision, DecisionLog, Log, LogFields, Metrics } from './observer';
export { PinoLog } from './pinoLog';
export type { LogOptions } from './pinoLog';
export { Recorder } from './recorder';
export type { RecordedLine, RecordedMetric } from './recorder';
export { StatsdMetrics } from './statsdMetrics';
export type { StatsdOptions } from './statsdMetrics';
