/** Validates a worker's status report. Unknown fields are ignored: the platform may send more. */
import { z } from 'zod';
import { parseObject } from './attemptAnswer';
import type { WorkerStatus } from './workers';

const amount = z.number().nonnegative();

const STATUS_SCHEMA = z.object({
  id: z.string().min(1),
  incarnation: z.string().min(1),
  domain: z.string(),
  rack: z.string(),
  slots: amount,
  cores: amount,
  memoryMb: amount,
  accelerators: amount,
  connections: amount,
  running: amount,
  reportAgeMs: amount,
});

/** Parses a status report; null if it is malformed. */
export function parseStatus(text: string): WorkerStatus | null {
  return STATUS_SCHEMA.safeParse(parseObject(text)).data ?? null;
}
