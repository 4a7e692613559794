/** No-op metrics, used if the settings contain no StatsD address. */
import type { Metrics } from './observer';

/** Discards all metrics. */
export const NO_METRICS: Metrics = {
  count: () => {},
  gauge: () => {},
  timing: () => {},
};
