/** RPC handlers of the directory on a control process; all but `COMMITTED_UPDATE` are served by the leader only. */
import { type ReplicatedGroup, answerAsLeader } from '../consensus/index.js';
import type { MethodRouter } from '../wire/index.js';
import type { DirectoryLeader } from './directory-leader.js';
import {
  type Acknowledgement,
  COMMITTED_UPDATE,
  COMPLETE_RETIREMENT,
  HEARTBEAT,
  PUT_CONFIGURATION,
  READ_CONFIGURATION,
  REMOVE_BACKEND,
  RETIREMENT_STATE,
  SERVICE_VERSIONS,
  START_RETIREMENT,
  WATCH,
} from './messages.js';
import { unpackSource } from './packed-configuration.js';

const ACKNOWLEDGED: Acknowledgement = { isAcknowledged: true };

export function registerDirectoryService(
  router: MethodRouter,
  leader: DirectoryLeader,
  findGroup: () => ReplicatedGroup | undefined,
): void {
  router.handle(WATCH, (request) => answerAsLeader(findGroup(), () => leader.watch(request)));
  router.handle(COMMITTED_UPDATE, (held) => leader.stateMachine.committedUpdateSince(held));
  router.handle(HEARTBEAT, (registration) =>
    answerAsLeader(findGroup(), async () => {
      await leader.recordHeartbeat(registration);
      return ACKNOWLEDGED;
    }),
  );
  router.handle(REMOVE_BACKEND, (incarnation) =>
    answerAsLeader(findGroup(), async () => {
      await leader.removeBackend(incarnation);
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
      const { configuration } = leader.stateMachine;
      return { source: configuration && unpackSource(configuration) };
    }),
  );
  router.handle(SERVICE_VERSIONS, ({ services, withinMs }) =>
    answerAsLeader(findGroup(), async (group) => {
      await group.confirmLeadership();
      return leader.stateMachine.versionsOf(services, withinMs);
    }),
  );
  router.handle(START_RETIREMENT, ({ node }) =>
    answerAsLeader(findGroup(), () => leader.retirements.start(node)),
  );
  router.handle(RETIREMENT_STATE, ({ node }) =>
    answerAsLeader(findGroup(), async (group) => {
      await group.confirmLeadership();
      return leader.retirements.stateOf(node);
    }),
  );
  router.handle(COMPLETE_RETIREMENT, ({ node, group }) =>
    answerAsLeader(findGroup(), async () => {
      await leader.retirements.noteLeftGroup(node, group);
      return ACKNOWLEDGED;
    }),
  );
}
