/** Metrics of a host whose settings name no StatsD address. */
import type { Metrics } from './observer';

/** Ignores all metrics. */
export const NO_METRICS: Metrics = {
  count: () => {},
  gauge: () => {},
  timing: () => {},
};
