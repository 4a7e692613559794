/** Load of one cell, read from an INI file: its workers, and the kinds of jobs that arrive. */
import { readFile } from 'node:fs/promises';
import { parse } from 'ini';
import { z } from 'zod';
import { OverloadPolicyName } from '../../src/cells/overloadPolicy';

const KIND_SECTION = /^kind (\S+)$/;

const cellSchema = z.strictObject({
  /** Who waits and who is refused under overload. */
  policy: z.enum(OverloadPolicyName).default(OverloadPolicyName.equalShares),
  workers: z.coerce.number().int().positive(),
  /** Sizes of the workers, taken in turn, in thousandths of a core. */
  workerCpuMillis: z.string().transform((text) => text.split(',').map(Number)),
  /** Factors on the run times of the workers, taken in turn. */
  workerSlowness: z
    .string()
    .default('1')
    .transform((text) => text.split(',').map(Number)),
  seconds: z.coerce.number().positive(),
  wavePeriodMs: z.coerce.number().positive(),
  /** The rate swings between 1 - this and 1 + this times its mean. */
  waveSwing: z.coerce.number().min(0).max(1),
  /** How often a refused client sends its job again, and after which time. */
  retries: z.coerce.number().int().min(0),
  returnMs: z.coerce.number().positive(),
});

const kindSchema = z.strictObject({
  priority: z.coerce.number().int().min(0),
  perSecond: z.coerce.number().positive(),
  /** Value of a mean job that ends in time; a late one counts a fifth. */
  weight: z.coerce.number().positive(),
  width: z.coerce.number().positive(),
  widthSpread: z.coerce.number().min(0),
  maxWidth: z.coerce.number().int().positive(),
  runMs: z.coerce.number().positive(),
});

/** What all kinds share. Spreads are standard deviations of the logarithm. */
const kindsSchema = z.strictObject({
  cpuMillis: z.coerce.number().positive(),
  cpuSpread: z.coerce.number().min(0),
  maxCpuMillis: z.coerce.number().positive(),
  runSpread: z.coerce.number().min(0),
  /** A share of the jobs takes `tailFactor` times as long. */
  tailShare: z.coerce.number().min(0).max(1),
  tailFactor: z.coerce.number().positive(),
  /** Spread of the tasks within a job. */
  unevenSpread: z.coerce.number().min(0),
  /** Spread of the declared run time around the true one. */
  estimateSpread: z.coerce.number().min(0),
  slackFactor: z.coerce.number().positive(),
  goalMs: z.coerce.number().min(0),
  deadlineMs: z.coerce.number().positive(),
});

/** One kind of jobs. */
export type KindShape = z.infer<typeof kindSchema> & { readonly name: string };

/** Load of one cell. */
export interface LoadShape {
  readonly cell: z.infer<typeof cellSchema>;
  readonly kinds: readonly KindShape[];
  readonly common: z.infer<typeof kindsSchema>;
}

/** Reads a shape; throws a `ZodError` that names each invalid setting. */
export async function readLoadShape(file: string): Promise<LoadShape> {
  const sections = parse(await readFile(file, 'utf8')) as Record<string, unknown>;
  const kinds = Object.entries(sections).flatMap(([section, settings]) => {
    const name = KIND_SECTION.exec(section)?.[1];
    return name === undefined ? [] : [{ name, ...kindSchema.parse(settings) }];
  });
  return {
    cell: cellSchema.parse(sections.cell),
    kinds,
    common: kindsSchema.parse(sections.kinds),
  };
}
