/** Liveness of the host that waits for a batch, as known to the owner of the cell. */

/** Contact with the submitter of a batch. */
export interface SubmitterContact {
  /** Milliseconds since the submitter last reported that it waits for the batch. */
  silentMs(): number;
}

/** Contact for a batch submitted by this process itself, which cannot outlive its submitter. */
export const LOCAL_SUBMITTER: SubmitterContact = { silentMs: () => 0 };
