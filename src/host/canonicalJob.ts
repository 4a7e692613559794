/**
 * One form of a job for the hash that detects a reused key. A job reaches its issuer from a caller's
 * JSON or from another host's message; both must yield the same bytes, so the order of the fields is
 * fixed here and absent ones are left out.
 */
import type { JobSpec, TaskSpec } from '../core';

function canonicalTask({ id, payload, declaredMs }: TaskSpec): TaskSpec {
  return declaredMs === undefined ? { id, payload } : { id, payload, declaredMs };
}

/** The same job with its fields in a fixed order. */
export function canonicalJob({ team, kind, deadlineMs, resources, tasks }: JobSpec): JobSpec {
  const { cores, memoryMb, accelerators } = resources;
  return {
    team,
    kind,
    deadlineMs,
    resources: { cores, memoryMb, accelerators },
    tasks: tasks.map(canonicalTask),
  };
}
