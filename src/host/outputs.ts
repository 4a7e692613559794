/** Outputs of a host for observability: log, decision log and metrics. */
import {
  NO_METRICS,
  PinoLog,
  SampledDecisionLog,
  StatsdMetrics,
  type DecisionLog,
  type Log,
  type Metrics,
} from '../observe';
import type { Settings } from '../settings';
import { splitAddress } from '../settings';

/** The outputs of one host. `close` flushes them. */
export interface HostOutputs {
  readonly log: Log;
  readonly decisions: DecisionLog;
  readonly metrics: Metrics;
  readonly close: () => Promise<void>;
}

function createMetrics({ metrics, host }: Settings): StatsdMetrics | null {
  if (metrics.statsdAddress === null) return null;
  const tags = { host: host.id, domain: host.domain };
  return new StatsdMetrics({
    ...splitAddress(metrics.statsdAddress),
    prefix: metrics.prefix,
    tags,
  });
}

/**
 * Creates the outputs from the settings: JSON lines on standard output, and StatsD if configured.
 */
export function createOutputs(settings: Settings): HostOutputs {
  const { host, log: options } = settings;
  const log = new PinoLog({ level: options.level, base: { host: host.id, domain: host.domain } });
  const statsd = createMetrics(settings);
  return {
    log,
    decisions: new SampledDecisionLog(log, options.decisions),
    metrics: statsd ?? NO_METRICS,
    close: async () => {
      await statsd?.close();
      await log.close();
    },
  };
}
