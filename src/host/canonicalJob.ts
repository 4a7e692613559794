/**
 * Canonical form of a job for the hash that detects a key reused for another job. The host that
 * issued the key gets a job either from a caller's JSON or from another host's message. Both must
 * serialize to the same bytes, so the fields are put in a fixed order and absent ones are left out.
 */
import type { JobSpec, TaskSpec } from '../core';

function canonicalTask({ id, payload, declaredMs }: TaskSpec): TaskSpec {
  return declaredMs === undefined ? { id, payload } : { id, payload, declaredMs };
}

/** Returns the same job with its fields in a fixed order. */
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
