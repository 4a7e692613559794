/** In-memory log, decision log and metrics, for tests. */
import type { Decision, DecisionLog, Log, LogFields, Metrics } from './observer';

/** One recorded log line. */
export interface RecordedLine {
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  readonly message: string;
  readonly fields: LogFields;
}

/** One recorded metric. */
export interface RecordedMetric {
  readonly type: 'count' | 'gauge' | 'timing';
  readonly name: string;
  readonly value: number;
  readonly tags: Readonly<Record<string, string>>;
}

/** Records all log lines, decisions and metrics in order. */
export class Recorder implements Log, DecisionLog, Metrics {
  readonly lines: RecordedLine[] = [];

  readonly decisions: Decision[] = [];

  readonly metrics: RecordedMetric[] = [];

  debug(message: string, fields: LogFields = {}): void {
    this.lines.push({ level: 'debug', message, fields });
  }

  info(message: string, fields: LogFields = {}): void {
    this.lines.push({ level: 'info', message, fields });
  }

  warn(message: string, fields: LogFields = {}): void {
    this.lines.push({ level: 'warn', message, fields });
  }

  error(message: string, fields: LogFields = {}): void {
    this.lines.push({ level: 'error', message, fields });
  }

  record(decision: Decision): void {
    this.decisions.push(decision);
  }

  count(name: string, value: number, tags: Readonly<Record<string, string>> = {}): void {
    this.metrics.push({ type: 'count', name, value, tags });
  }

  gauge(name: string, value: number, tags: Readonly<Record<string, string>> = {}): void {
    this.metrics.push({ type: 'gauge', name, value, tags });
  }

  timing(name: string, valueMs: number, tags: Readonly<Record<string, string>> = {}): void {
    this.metrics.push({ type: 'timing', name, value: valueMs, tags });
  }

  /** Sum of all counts with the given name, over all tags. */
  total(name: string): number {
    return this.metrics
      .filter((metric) => metric.type === 'count' && metric.name === name)
      .reduce((sum, { value }) => sum + value, 0);
  }
}
