/** Configurations and records for tests. */
import { nextRecord, type ConfigurationRecord } from '../../src/configuration/record';

/** A valid configuration; `share` tells versions apart. */
export function sampleText(share = 0.5): string {
  return `[template base]
quotaSlots = 100
[template base kind unlock]
urgency = 0
idempotent = true
deadlineMs = 2000
[template base kind settle]
urgency = 3
idempotent = false
deadlineMs = 3000
[team kiosk]
template = base
share = ${share}
[team kiosk kind settle]
deadlineMs = 5000
urgency = 4
`;
}

/** The record of a publication with this id over `base`. */
export function sampleRecord(
  base: ConfigurationRecord | null,
  publicationId: string,
  text = sampleText(),
): ConfigurationRecord {
  const published = { publicationId, publishedBy: 'op', publishedAtMs: 1, text };
  return nextRecord(base, published);
}
