/** Steps that set up a fleet and let time pass. */
import { Given, When } from '@cucumber/cucumber';
import { fleet, scenario } from '../support/scenario';
import { toMs } from '../support/names';

Given(
  /^(\d+) domains? with (\d+) entry hosts? and (\d+) workers? each$/,
  (domains: string, hosts: string, workers: string) => {
    const state = scenario();
    state.size = {
      ...state.size,
      domains: Number(domains),
      hostsPerDomain: Number(hosts),
      workersPerDomain: Number(workers),
    };
  },
);

Given(/^(\d+) slots? per worker$/, (slots: string) => {
  const state = scenario();
  state.size = { ...state.size, slots: Number(slots) };
});

When(/^(\d+) (ms|seconds?) pass(?:es)?$/, (value: string, unit: string) => {
  fleet().do((each) => each.pass(toMs(value, unit)));
});

When('all answers have come', () => {
  fleet().do((each) => each.settle());
});
