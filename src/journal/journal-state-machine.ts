/** Replicated state machine of the journal: dispatches each command to its handler. */
import type { StateMachine } from '../consensus/index.js';
import { decodeValue } from '../wire/index.js';
import { applyBegin, applyRestart } from './begin.js';
import type { JournalCommand, TimestampedCommand } from './commands.js';
import { applyEnd, applyOpen, applyReleased, applySweep } from './lifecycle.js';
import { JournalState } from './journal-state.js';
import { applyFinish, applyRefuse, applyWithdraw } from './settle.js';

export class JournalStateMachine implements StateMachine {
  readonly state = new JournalState();

  /** @param onChange called after each applied command */
  constructor(private readonly onChange: (command: JournalCommand) => void = () => undefined) {}

  apply(encoded: Uint8Array): unknown {
    const { atMs, command } = decodeValue<TimestampedCommand>(encoded);
    this.state.clockMs = Math.max(this.state.clockMs, atMs);
    const result = this.applyCommand(command);
    this.onChange(command);
    return result;
  }

  snapshot(): Iterable<Uint8Array> {
    return [this.state.encode()];
  }

  restore(bytes: Uint8Array): void {
    this.state.decode(bytes);
  }

  private applyCommand(command: JournalCommand): unknown {
    const { state } = this;
    switch (command.type) {
      case 'open':
        return applyOpen(state, command);
      case 'begin':
        return applyBegin(state, command);
      case 'restart':
        return applyRestart(state, command);
      case 'finish':
        return applyFinish(state, command);
      case 'withdraw':
        return applyWithdraw(state, command);
      case 'refuse':
        return applyRefuse(state, command);
      case 'end':
        return applyEnd(state, command);
      case 'released':
        return applyReleased(state, command);
      case 'sweep':
        return applySweep(state);
    }
  }
}
