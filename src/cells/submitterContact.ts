/** What the owner of a cell knows of the host that waits for a batch. */

/** Contact with the submitter of a batch. */
export interface SubmitterContact {
  /** Time since the submitter last said that it waits for the batch, in milliseconds. */
  silentMs(): number;
}

/** A batch that this process submits itself: it can't be lost without its owner. */
export const LOCAL_SUBMITTER: SubmitterContact = { silentMs: () => 0 };
