/** Public surface of the bench: the harness in virtual time, its oracle, workloads and baselines. */
export { createBaselineCore } from './baseline';
export type { CoreContext, CoreFactory } from './entryHost';
export type { WorkerBehaviour } from './workerBehaviour';
export type { FleetShape } from './fleet';
export { Harness } from './harness';
export type { HarnessOptions } from './harness';
export { checkRun, Rule } from './oracle';
export type { OracleOptions, Violation } from './oracle';
export { SeededRandom } from './random';
export type { CallRecord, JobPlan, JobRecord, RunRecord, StartRecord } from './records';
export { ADDIS, CHADAR, configurationOf, drawJob, mix, poisson } from './workload';
export type { Arrival, KindModel, Span, WorkloadModel } from './workload';
