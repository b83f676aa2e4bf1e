/** Sessions that a gateway holds to count the active ones. */
import { expect, it } from 'vitest';
import { ActiveSessions } from './active-sessions.js';

const MAX_SESSIONS = 4_096;

// They were forgotten with a report to the directory's leader only.
it('forgets ended sessions while nothing asks for their number', () => {
  const sessions = new ActiveSessions();
  sessions.begin('in flight', 1);
  for (let index = 0; index < 3 * MAX_SESSIONS; index += 1) {
    sessions.begin(`session ${index}`, 1);
    sessions.end(`session ${index}`, index);
  }
  expect(sessions.size).toBeLessThanOrEqual(MAX_SESSIONS);
  expect(sessions.countByPriority(1e9)).toEqual(new Map([[1, 1]]));
});
