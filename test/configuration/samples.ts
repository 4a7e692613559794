/** Sample configurations and records. */
import { nextRecord, type ConfigurationRecord } from '../../src/configuration/record';

/** Returns a valid configuration; `share` distinguishes versions. */
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

/** Returns the successor of `base` with the given publication id. */
export function sampleRecord(
  base: ConfigurationRecord | null,
  publicationId: string,
  text = sampleText(),
): ConfigurationRecord {
  const published = { publicationId, publishedBy: 'op', publishedAtMs: 1, text };
  return nextRecord(base, published);
}
