/** The operators' configuration, as used by the decision code. Values are immutable. */

/** Parameters of one kind of work of a team. */
export interface KindPolicy {
  readonly name: string;
  /** 0 is most urgent, 9 least. */
  readonly urgency: number;
  /** A job of an idempotent kind may be submitted without an issued key. */
  readonly idempotent: boolean;
  /** Default deadline of jobs that specify none. */
  readonly deadlineMs: number;
}

/** Parameters of one team. */
export interface TeamPolicy {
  readonly name: string;
  readonly template: string;
  /** Guaranteed fraction of the fleet's slots, 0 to 1. */
  readonly share: number;
  /** Maximum slots in use at a time in one domain; null means no quota. */
  readonly quotaSlots: number | null;
  readonly kinds: ReadonlyMap<string, KindPolicy>;
}

/** An accepted configuration. Generations only increase. */
export interface Configuration {
  readonly generation: number;
  readonly publicationId: string;
  readonly teams: ReadonlyMap<string, TeamPolicy>;
}
