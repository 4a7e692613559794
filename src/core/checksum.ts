/**
 * Checksum for comparing texts between hosts, by two FNV-1a hashes of 32 bits. Unlike `hashOf` it
 * does without `node:crypto`, which takes long to load when a process starts.
 */
const PRIME = 0x01000193;
/** The first is the standard one; the second only has to differ from it. */
const OFFSET_BASES = [0x811c9dc5, 0x9747b28c] as const;
const HEX_RADIX = 16;
const HEX_DIGITS = 8;

function fnv1a(text: string, offsetBasis: number): number {
  let hash = offsetBasis;
  for (let index = 0; index < text.length; index += 1) {
    // eslint-disable-next-line no-bitwise -- part of the algorithm
    hash = Math.imul(hash ^ text.charCodeAt(index), PRIME);
  }
  // eslint-disable-next-line no-bitwise -- converts to an unsigned number
  return hash >>> 0;
}

/** 64 bits as 16 hexadecimal digits. Not suited for protection against intended collisions. */
export function checksumOf(text: string): string {
  return OFFSET_BASES.map((offsetBasis) =>
    fnv1a(text, offsetBasis).toString(HEX_RADIX).padStart(HEX_DIGITS, '0'),
  ).join('');
}
