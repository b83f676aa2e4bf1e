/** What a replicated group replicates. */
export interface StateMachine {
  /**
   * Applies one committed command. Must depend on the state and the command only, so that every
   * replica comes to the same state and result.
   */
  apply(command: Uint8Array, index: number): unknown;

  /** Encodes the whole state. */
  snapshot(): Uint8Array;

  /** Replaces the state by an encoded one. */
  restore(state: Uint8Array): void;
}
