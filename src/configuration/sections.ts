/**
 * First pass over a configuration: checks each section and value on its own. Every fault becomes a
 * finding and leaves its value out, so that one run reports them all.
 */
import type { Finding } from '../settings/finding';
import type { IniDocument, IniSection } from '../settings/iniDocument';
import { formatHeader, isName, parseHeader, type SectionHeader } from './names';
import { SECTION_KEYS, VALUES, type ValueKey, type Values } from './values';

/** A section with its checked values and where they stand. */
export interface CheckedSection {
  readonly header: SectionHeader;
  readonly section: IniSection;
  readonly values: Values;
}

/** Sections by their normal header. */
export type CheckedSections = ReadonlyMap<string, CheckedSection>;

/** Makes a finding about a key of a section, or about the section if `key` is ''. */
export function sectionFinding(
  file: string,
  section: IniSection,
  key: string,
  expected: string,
  found: string,
): Finding {
  const line = section.values.get(key)?.line ?? section.line;
  return { file, line, section: section.name, key, expected, found };
}

function checkValues(file: string, section: IniSection, allowed: readonly string[]) {
  const findings: Finding[] = [];
  const values: Record<string, unknown> = {};
  section.values.forEach(({ text }, key) => {
    if (!allowed.includes(key)) {
      findings.push(
        sectionFinding(file, section, key, `one of ${allowed.join(', ')}`, 'an unknown key'),
      );
      return;
    }
    const rule = VALUES[key as ValueKey];
    const parsed = rule.schema.safeParse(text);
    if (parsed.success) values[key] = parsed.data;
    else findings.push(sectionFinding(file, section, key, rule.expected, JSON.stringify(text)));
  });
  return { values: values as Values, findings };
}

function checkHeader(file: string, section: IniSection): SectionHeader | Finding {
  const header = parseHeader(section.name);
  if (header === null) {
    const forms = '[template NAME], [team NAME], or either followed by kind KIND';
    return sectionFinding(file, section, '', forms, 'an unknown section');
  }
  const wrong = [header.name, header.kind ?? 'a'].find((name) => !isName(name));
  if (wrong === undefined) return header;
  const expected = 'a name of 1 to 64 characters of a-z, 0-9 and -';
  return sectionFinding(file, section, '', expected, JSON.stringify(wrong));
}

/** Checks all sections; findings stand in the order of the document. */
export function checkSections({ file, sections }: IniDocument): {
  readonly checked: CheckedSections;
  readonly findings: readonly Finding[];
} {
  const checked = new Map<string, CheckedSection>();
  const findings: Finding[] = [];
  sections.forEach((section) => {
    const header = checkHeader(file, section);
    if ('expected' in header) {
      findings.push(header);
      return;
    }
    const keys = SECTION_KEYS[header.kind === null ? header.owner : 'kind'];
    const { values, findings: wrong } = checkValues(file, section, keys);
    findings.push(...wrong);
    const name = formatHeader(header);
    if (checked.has(name)) {
      findings.push(sectionFinding(file, section, '', `[${name}] defined once`, 'a repetition'));
    } else checked.set(name, { header, section, values });
  });
  return { checked, findings };
}
