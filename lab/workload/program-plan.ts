/** Programs that a workload generates; the system under test does not know them in advance. */

export interface ModelTurn {
  kind: 'model';
  /** Text of the user message. */
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

/** The program waits for a tool that runs outside of the system. */
export interface PauseTurn {
  kind: 'pause';
  /** Wall-clock time in milliseconds. */
  durationMs: number;
}

/** The program waits for sub-agents that run concurrently. */
export interface SpawnTurn {
  kind: 'spawn';
  children: ProgramPlan[];
}

export type Turn = ModelTurn | ServiceTurn | PauseTurn | SpawnTurn;

export interface ProgramPlan {
  /** Program class by which results are grouped. */
  className: string;
  tenant: string;
  model: string;
  systemPrompt: string;
  budget: number;
  turns: Turn[];
}
