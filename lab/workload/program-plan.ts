/** Programs as a workload generates them: known to the load tool, unknown to the system. */

export interface ModelTurn {
  kind: 'model';
  /** Text that the turn adds to the history. */
  text: string;
  maxTokens: number;
}

export interface ServiceTurn {
  kind: 'service';
  service: string;
  operation: string;
  payload: string;
  isRepeatable: boolean;
}

/** A tool runs outside of the system; the program waits for it. */
export interface PauseTurn {
  kind: 'pause';
  /** In milliseconds of wall-clock time. */
  durationMs: number;
}

/** Sub-agents that run side by side; the program goes on when all have ended. */
export interface SpawnTurn {
  kind: 'spawn';
  children: ProgramPlan[];
}

export type Turn = ModelTurn | ServiceTurn | PauseTurn | SpawnTurn;

export interface ProgramPlan {
  /** Class of program, for the tables. */
  className: string;
  tenant: string;
  model: string;
  systemPrompt: string;
  budget: number;
  turns: Turn[];
}
