/** A hash that is the same on every host, for choices that all hosts must make identically. */
import { createHash } from 'node:crypto';

/** More bytes would not fit exactly into a number. */
const HASH_BYTES = 6;

/** A non-negative integer that depends on the text only. */
export function hashOf(text: string): number {
  return createHash('sha256').update(text).digest().readUIntBE(0, HASH_BYTES);
}
