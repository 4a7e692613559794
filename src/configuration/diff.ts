/** Differences between two configurations, per value and in the operators' notation. */
import type { Configuration, KindPolicy, TeamPolicy } from './policy';

/** A changed value; null means absent. `section` is the header without brackets. */
export interface ConfigurationChange {
  readonly section: string;
  readonly key: string;
  readonly inForce: string | null;
  readonly proposed: string | null;
}

type Values = Readonly<Record<string, string | null>>;

function kindValues({ urgency, idempotent, deadlineMs }: KindPolicy): Values {
  return {
    urgency: String(urgency),
    idempotent: String(idempotent),
    deadlineMs: String(deadlineMs),
  };
}

function teamValues({ template, share, quotaSlots }: TeamPolicy): Values {
  return {
    template,
    share: String(share),
    quotaSlots: quotaSlots === null ? null : String(quotaSlots),
  };
}

function changesOf(section: string, inForce: Values, proposed: Values) {
  const keys = [...new Set([...Object.keys(inForce), ...Object.keys(proposed)])];
  return keys
    .map((key): ConfigurationChange => ({
      section,
      key,
      inForce: inForce[key] ?? null,
      proposed: proposed[key] ?? null,
    }))
    .filter((change) => change.inForce !== change.proposed);
}

/** Values by section. Kinds are listed under their team, including those from a template. */
function sectionsOf(configuration: Configuration | null): ReadonlyMap<string, Values> {
  const sections = new Map<string, Values>();
  configuration?.teams.forEach((team) => {
    sections.set(`team ${team.name}`, teamValues(team));
    team.kinds.forEach((kind) => {
      sections.set(`team ${team.name} kind ${kind.name}`, kindValues(kind));
    });
  });
  return sections;
}

/**
 * Returns all changes, sorted by section; empty if the configurations are equivalent. `inForce` is
 * null before the first publication.
 */
export function diffConfigurations(
  inForce: Configuration | null,
  proposed: Configuration,
): readonly ConfigurationChange[] {
  const [before, after] = [sectionsOf(inForce), sectionsOf(proposed)];
  const names = [...new Set([...before.keys(), ...after.keys()])].sort();
  return names.flatMap((name) => changesOf(name, before.get(name) ?? {}, after.get(name) ?? {}));
}
