/**
 * First pass over a configuration: validates each section and value separately. Invalid values are
 * reported as findings and omitted, so that one run reports all errors.
 */
import type { Finding } from '../settings/finding';
import type { IniDocument, IniSection } from '../settings/iniDocument';
import { formatHeader, isName, parseHeader, type SectionHeader } from './names';
import { SECTION_KEYS, VALUES, type ValueKey, type Values } from './values';

/** A section with its valid values and its source location. */
export interface CheckedSection {
  readonly header: SectionHeader;
  readonly section: IniSection;
  readonly values: Values;
}

/** Sections by normalized header. */
export type CheckedSections = ReadonlyMap<string, CheckedSection>;

/** Creates a finding for a key, or for the whole section if `key` is ''. */
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
  const invalidName = [header.name, header.kind ?? 'a'].find((name) => !isName(name));
  if (invalidName === undefined) return header;
  const expected = 'a name of 1 to 64 characters of a-z, 0-9 and -';
  return sectionFinding(file, section, '', expected, JSON.stringify(invalidName));
}

/** Validates all sections. Findings are in document order. */
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
