/**
 * Parses the operators' configuration. The second pass resolves the templates of teams: a team's
 * kinds override the template's kinds key by key. All findings are reported together, by line.
 */
import { Err, Ok, type Result } from 'ts-results';
import type { Finding } from '../settings/finding';
import { parseIni } from '../settings/iniDocument';
import type { KindPolicy, TeamPolicy } from './policy';
import {
  checkSections,
  sectionFinding,
  type CheckedSection,
  type CheckedSections,
} from './sections';
import { SECTION_KEYS } from './values';

/** Team policies of a document, without the generation and publication id of `Configuration`. */
export type Teams = ReadonlyMap<string, TeamPolicy>;

/** Tolerates floating-point rounding in sums such as 0.1 + 0.2 + 0.7. */
const SHARE_TOLERANCE = 1e-9;

class TemplateResolver {
  readonly findings: Finding[] = [];

  readonly #file: string;

  readonly #sections: CheckedSections;

  constructor(file: string, sections: CheckedSections) {
    this.#file = file;
    this.#sections = sections;
  }

  /** Returns the valid teams and records findings for the others. */
  teams(): Teams {
    const teams = [...this.#sections.values()]
      .filter(({ header }) => header.owner === 'team' && header.kind === null)
      .flatMap((section) => this.#team(section) ?? []);
    this.#checkOwners();
    this.#checkShares(teams);
    return new Map(teams.map((team) => [team.name, team]));
  }

  #report(at: CheckedSection, key: string, expected: string, found: string): void {
    const finding = sectionFinding(this.#file, at.section, key, expected, found);
    const text = JSON.stringify(finding);
    if (!this.findings.some((other) => JSON.stringify(other) === text)) this.findings.push(finding);
  }

  #team(team: CheckedSection): TeamPolicy | null {
    const { template, share, quotaSlots } = team.values;
    const { name } = team.header;
    const given = team.section.values;
    if (!given.has('share')) this.#report(team, 'share', 'a number from 0 to 1', 'nothing');
    if (!given.has('template')) this.#report(team, 'template', 'the name of a template', 'nothing');
    const parent = this.#sections.get(`template ${template}`);
    if (template !== undefined && !parent) {
      this.#report(team, 'template', 'the name of a [template NAME] section', template);
    }
    const kinds = this.#kinds(team, parent ? parent.header.name : null);
    if (template === undefined || share === undefined || !parent) return null;
    const quota = quotaSlots ?? parent.values.quotaSlots ?? null;
    return { name, template, share, quotaSlots: quota, kinds };
  }

  #kinds(team: CheckedSection, template: string | null): ReadonlyMap<string, KindPolicy> {
    const own = this.#kindSections('team', team.header.name);
    const inherited = template === null ? new Map() : this.#kindSections('template', template);
    const names = [...new Set<string>([...inherited.keys(), ...own.keys()])];
    if (names.length === 0 && template !== null) {
      this.#report(team, '', 'at least one kind in the team or its template', 'none');
    }
    const kinds = names.flatMap((name) => {
      const sections = [own.get(name), inherited.get(name)].filter((section) => section);
      return this.#kind(name, sections as CheckedSection[], template !== null) ?? [];
    });
    return new Map(kinds.map((kind) => [kind.name, kind]));
  }

  #kindSections(owner: string, name: string): ReadonlyMap<string, CheckedSection> {
    const found = [...this.#sections.values()].flatMap((section) => {
      const { kind, ...header } = section.header;
      const matches = header.owner === owner && header.name === name;
      return matches && kind !== null ? [[kind, section] as const] : [];
    });
    return new Map(found);
  }

  /** `sections` are the team's and the template's section, in this order, if they exist. */
  #kind(name: string, sections: readonly CheckedSection[], complete: boolean): KindPolicy | null {
    const [first, second] = sections;
    if (!first) return null;
    const missing = SECTION_KEYS.kind.filter(
      (key) => !sections.some(({ section }) => section.values.has(key)),
    );
    // Without a known template, it is unknown which keys are missing.
    if (complete)
      missing.forEach((key) => this.#report(first, key, `a value of ${key}`, 'nothing'));
    const { urgency, idempotent, deadlineMs } = { ...second?.values, ...first.values };
    if (urgency === undefined || idempotent === undefined || deadlineMs === undefined) return null;
    return { name, urgency, idempotent, deadlineMs };
  }

  #checkOwners(): void {
    this.#sections.forEach((section) => {
      const { owner, name, kind } = section.header;
      if (kind !== null && !this.#sections.has(`${owner} ${name}`)) {
        this.#report(section, '', `a section [${owner} ${name}]`, 'none');
      }
    });
  }

  #checkShares(teams: readonly TeamPolicy[]): void {
    const sum = teams.reduce((total, { share }) => total + share, 0);
    if (sum <= 1 + SHARE_TOLERANCE) return;
    this.findings.push({
      file: this.#file,
      line: 0,
      section: 'team',
      key: 'share',
      expected: 'shares of all teams that sum to at most 1',
      found: String(Math.round(sum * 1e6) / 1e6),
    });
  }
}

/** Parses and validates a configuration. `file` is only used in findings. */
export function parseConfiguration(file: string, text: string): Result<Teams, readonly Finding[]> {
  const { document, findings } = parseIni(file, text);
  const { checked, findings: valueFindings } = checkSections(document);
  const resolver = new TemplateResolver(file, checked);
  const teams = resolver.teams();
  const all = [...findings, ...valueFindings, ...resolver.findings];
  return all.length === 0 ? Ok(teams) : Err(all.sort((a, b) => a.line - b.line));
}
