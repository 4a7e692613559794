/** Which host the platform's store names as the owner of a cell. */
import { send } from './client';

interface Item {
  readonly key: string;
  readonly value: string;
}

const DEADLINE_MS = 1000;

/** Reads the record of a cell from the store; null if there is none. */
export async function ownerInStore(storeAddress: string, cell: string): Promise<string | null> {
  const key = `wasabiyoke/cells/${cell}`;
  const { text } = await send({
    address: storeAddress,
    method: 'GET',
    path: `/wasabiyoke/kv-range?prefix=${encodeURIComponent(key)}`,
    host: storeAddress,
    deadlineMs: DEADLINE_MS,
  });
  const { items } = JSON.parse(text) as { items: readonly Item[] };
  const value = items.find((item) => item.key === key)?.value;
  if (value === undefined) return null;
  const record = JSON.parse(Buffer.from(value, 'base64').toString('utf8')) as { hostId: string };
  return record.hostId;
}
