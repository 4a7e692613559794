/** Types and ranges of configuration values. */
import { z } from 'zod';
import { isName } from './names';

const DAY_MS = 86_400_000;
const MAX_SLOTS = 1_000_000;
const INTEGER = /^\d{1,15}$/;
const DECIMAL = /^\d+(\.\d+)?$/;

function numberIn(pattern: RegExp, low: number, high: number) {
  return z
    .string()
    .regex(pattern)
    .transform(Number)
    .refine((value) => value >= low && value <= high);
}

/** Schema of each key, with the description used in findings. */
export const VALUES = {
  template: { schema: z.string().refine(isName), expected: 'a name of a-z, 0-9 and -' },
  share: { schema: numberIn(DECIMAL, 0, 1), expected: 'a number from 0 to 1' },
  quotaSlots: {
    schema: numberIn(INTEGER, 1, MAX_SLOTS),
    expected: `an integer from 1 to ${MAX_SLOTS}`,
  },
  urgency: { schema: numberIn(INTEGER, 0, 9), expected: 'an integer from 0 to 9' },
  idempotent: {
    schema: z.enum(['true', 'false']).transform((text) => text === 'true'),
    expected: 'true or false',
  },
  deadlineMs: {
    schema: numberIn(INTEGER, 1, DAY_MS),
    expected: `an integer from 1 to ${DAY_MS}`,
  },
} as const;

/** A key that is allowed in some section. */
export type ValueKey = keyof typeof VALUES;

/** The valid values of a section. */
export type Values = { readonly [K in ValueKey]?: z.output<(typeof VALUES)[K]['schema']> };

/** Allowed keys of each type of section. */
export const SECTION_KEYS = {
  template: ['quotaSlots'],
  team: ['template', 'share', 'quotaSlots'],
  kind: ['urgency', 'idempotent', 'deadlineMs'],
} as const satisfies Record<string, readonly ValueKey[]>;
