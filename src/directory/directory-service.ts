/** Serves the directory's methods on a control process; only the leader answers. */
import { LedgegaugeError } from '../common/index.js';
import { NotLeaderError, type ReplicatedGroup } from '../consensus/index.js';
import type { MethodRouter } from '../wire/index.js';
import { type DirectoryLeader, RosterIncompleteError } from './directory-leader.js';
import {
  type Acknowledgement,
  COMPLETE_RETIREMENT,
  HEARTBEAT,
  type LeaderAnswer,
  PUT_CONFIGURATION,
  READ_CONFIGURATION,
  REMOVE_BACKEND,
  RETIREMENT_STATE,
  START_RETIREMENT,
  WATCH,
} from './messages.js';

const ACKNOWLEDGED: Acknowledgement = { isAcknowledged: true };

/** Runs `work` on the leader; anything else is answered with where the leader may be. */
export async function answerAsLeader<Answer>(
  group: ReplicatedGroup | undefined,
  work: (group: ReplicatedGroup) => Promise<Answer>,
): Promise<LeaderAnswer<Answer>> {
  if (!group) return { refusal: 'not started' };
  if (!group.isLeader) return { leaderAddress: group.leaderAddress, refusal: 'not the leader' };
  if (!group.isCurrentLeader) return { refusal: 'leading, but not current yet' };
  try {
    return { answer: await work(group) };
  } catch (error) {
    if (error instanceof NotLeaderError) {
      return { leaderAddress: error.leaderAddress, refusal: error.message };
    }
    const isPassing =
      error instanceof RosterIncompleteError ||
      (error instanceof LedgegaugeError && error.retriable);
    if (isPassing) return { refusal: error.message };
    throw error;
  }
}

export function registerDirectoryService(
  router: MethodRouter,
  leader: DirectoryLeader,
  findGroup: () => ReplicatedGroup | undefined,
): void {
  router.handle(WATCH, (request) => answerAsLeader(findGroup(), () => leader.watch(request)));
  router.handle(HEARTBEAT, (registration) =>
    answerAsLeader(findGroup(), async () => {
      await leader.recordHeartbeat(registration);
      return ACKNOWLEDGED;
    }),
  );
  router.handle(REMOVE_BACKEND, ({ id }) =>
    answerAsLeader(findGroup(), async () => {
      await leader.removeBackend(id);
      return ACKNOWLEDGED;
    }),
  );
  router.handle(PUT_CONFIGURATION, (request) =>
    answerAsLeader(findGroup(), async () => {
      await leader.putConfiguration(request);
      return ACKNOWLEDGED;
    }),
  );
  router.handle(READ_CONFIGURATION, () =>
    answerAsLeader(findGroup(), async (group) => {
      await group.confirmLeadership();
      return { source: leader.stateMachine.configurationSource };
    }),
  );
  router.handle(START_RETIREMENT, ({ node }) =>
    answerAsLeader(findGroup(), () => leader.startRetirement(node)),
  );
  router.handle(RETIREMENT_STATE, ({ node }) =>
    answerAsLeader(findGroup(), async (group) => {
      await group.confirmLeadership();
      return leader.retirementState(node);
    }),
  );
  router.handle(COMPLETE_RETIREMENT, ({ node }) =>
    answerAsLeader(findGroup(), async () => {
      await leader.completeRetirement(node);
      return ACKNOWLEDGED;
    }),
  );
}
