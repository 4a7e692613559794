/**
 * Guards against hosts that do not schedule the domain reporting its queue lengths a second time.
 */
import { it } from 'node:test';
import { expect } from 'earl';
import { reportGauges } from '../../src/host/gauges';
import { NO_METRICS } from '../../src/observe';
import { Driver, job } from '../core/driver';

function collectGauges(driver: Driver): ReadonlyMap<string, number> {
  const gauges = new Map<string, number>();
  reportGauges(driver.core.inspect(), {
    ...NO_METRICS,
    gauge: (name, value) => gauges.set(name, value),
  });
  return gauges;
}

it('reports queue and worker gauges only if the host schedules the domain', () => {
  const driver = Driver.ready([1]);
  driver.submit(job(3));
  const gauges = collectGauges(driver);
  expect(gauges.get('queue.tasks')).toEqual(2);
  expect(gauges.get('slots.used')).toEqual(1);
  expect(gauges.get('workers.active')).toEqual(1);
  expect(gauges.get('submissions.pending')).toEqual(1);
  expect([...collectGauges(new Driver('b1')).keys()].sort()).toEqual([
    'attempts.in_progress',
    'submissions.kept',
    'submissions.pending',
  ]);
});
