/** Readable list of the changes between two configurations. */
import type { Configuration, KindPolicy, TeamPolicy } from './policy';

type Describe<T> = (value: T) => Readonly<Record<string, string>>;

function describeKind({ urgency, idempotent, deadlineMs }: KindPolicy) {
  return {
    urgency: String(urgency),
    idempotent: String(idempotent),
    deadlineMs: String(deadlineMs),
  };
}

function describeTeam({ template, share, quotaSlots }: TeamPolicy) {
  return { template, share: String(share), quotaSlots: String(quotaSlots ?? 'none') };
}

function fieldsOf(fields: Readonly<Record<string, string>>): string {
  return Object.entries(fields)
    .map(([key, value]) => `${key} ${value}`)
    .join(', ');
}

function diffOne<T>(label: string, old: T | undefined, next: T | undefined, describe: Describe<T>) {
  if (old === undefined && next === undefined) return [];
  if (old === undefined) return [`${label}: added (${fieldsOf(describe(next as T))})`];
  if (next === undefined) return [`${label}: removed`];
  const [before, after] = [describe(old), describe(next)];
  return Object.keys(after)
    .filter((key) => before[key] !== after[key])
    .map((key) => `${label}: ${key} ${before[key]} -> ${after[key]}`);
}

function names(...maps: readonly (ReadonlyMap<string, unknown> | undefined)[]): readonly string[] {
  return [...new Set(maps.flatMap((map) => [...(map?.keys() ?? [])]))].sort();
}

/** One line per change, by team and kind; empty if both mean the same. `old` is null at first. */
export function diffConfigurations(
  old: Configuration | null,
  next: Configuration,
): readonly string[] {
  return names(old?.teams, next.teams).flatMap((name) => {
    const [before, after] = [old?.teams.get(name), next.teams.get(name)];
    const team = diffOne(`team ${name}`, before, after, describeTeam);
    if (after === undefined) return team;
    const kinds = names(before?.kinds, after.kinds).flatMap((kind) =>
      diffOne(
        `team ${name} kind ${kind}`,
        before?.kinds.get(kind),
        after.kinds.get(kind),
        describeKind,
      ),
    );
    return [...team, ...kinds];
  });
}
