/** Interfaces for logs, decision logs and metrics. */

/** Fields of a log line. Names of quantities end in the unit. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Structured logger. */
export interface Log {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
}

/** A routing or placement decision. `reason` is the name of the rule in the code. */
export interface Decision {
  readonly decision: string;
  readonly reason: string;
  readonly fields: LogFields;
}

/** Records decisions. */
export interface DecisionLog {
  record(decision: Decision): void;
}

/** Counters, gauges and timings; tags are `name:value` pairs. */
export interface Metrics {
  count(name: string, value: number, tags?: Readonly<Record<string, string>>): void;
  gauge(name: string, value: number, tags?: Readonly<Record<string, string>>): void;
  timing(name: string, valueMs: number, tags?: Readonly<Record<string, string>>): void;
}
