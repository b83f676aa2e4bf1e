/** What a replicated group replicates. */
export interface StateMachine {
  /**
   * Applies one committed command. Must depend on the state and the command only, so that every
   * replica comes to the same state and result.
   */
  apply(command: Uint8Array, index: number): unknown;

  /**
   * The whole state as it is at the call, in pieces. They may be encoded when they are asked for, so
   * that a large state is not held twice, but must not show what is applied in between.
   */
  snapshot(): Iterable<Uint8Array>;

  /** Replaces the state by an encoded one: all pieces of a snapshot behind one another. */
  restore(state: Uint8Array): void;
}
