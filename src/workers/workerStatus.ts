/** Checks a worker's report of itself; the platform may send more fields than are used here. */
import { z } from 'zod';
import { parseObject } from './attemptAnswer';
import type { WorkerStatus } from './workers';

const amount = z.number().nonnegative();

const STATUS = z.object({
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

/** The report in `text`, or null if it is malformed. */
export function parseStatus(text: string): WorkerStatus | null {
  return STATUS.safeParse(parseObject(text)).data ?? null;
}
