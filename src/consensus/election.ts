/** Runs an election: a pre-vote that does not change terms, then the vote. */
import { monotonicMs } from '../common/index.js';
import { quorumSize, votersOf } from './configuration.js';
import { VOTE } from './messages.js';
import type { GroupEnvironment } from './group-environment.js';
import type { ReplicatedGroup } from './replicated-group.js';

export const VOTE_TIMEOUT_MS = 400;

interface VoteRound {
  term: number;
  isPreVote: boolean;
  isTransfer: boolean;
}

/** Runs one election. The group becomes leader if it wins. */
export async function runElection(
  group: ReplicatedGroup,
  environment: GroupEnvironment,
  isTransfer: boolean,
): Promise<void> {
  if (group.isLeader) return;
  const startTerm = group.term;
  if (!isTransfer) {
    const round = { term: startTerm + 1, isPreVote: true, isTransfer };
    const wouldWin = await requestVotes(group, environment, round);
    if (!wouldWin || group.term !== startTerm || group.isLeader) return;
  }
  const round = { term: group.term + 1, isPreVote: false, isTransfer };
  const won = await group.elections.whileVoting(() =>
    group.stand(() => requestVotes(group, environment, round)),
  );
  if (won) group.becomeLeader();
}

function requestVotes(
  group: ReplicatedGroup,
  environment: GroupEnvironment,
  round: VoteRound,
): Promise<boolean> {
  const needed = quorumSize(group.configuration);
  const others = votersOf(group.configuration).filter((voter) => voter.id !== group.ownId);
  const { lastIndex, lastTerm } = group.log;
  const base = { group: group.name, from: group.ownId, lastIndex, lastTerm, ...round };
  return new Promise<boolean>((resolve) => {
    let granted = 1;
    let answered = 1;
    let pending = others.length;
    const resolveIfDecided = (): void => {
      if (granted >= needed) resolve(true);
      else if (granted + pending < needed) {
        if (answered >= needed) group.elections.pacing.noteLostElection();
        resolve(false);
      }
    };
    const requestVote = async (voter: (typeof others)[number]): Promise<void> => {
      try {
        const request = { ...base, to: voter.id };
        const options = { timeoutMs: VOTE_TIMEOUT_MS };
        const wasConnected = environment.isConnected(voter);
        const sentAt = monotonicMs();
        const response = await environment.call(voter, VOTE, request, options);
        answered += 1;
        // One slow voter does not matter, nor does the time until a voter has started.
        if (wasConnected && answered === needed)
          group.elections.pacing.noteRoundTrip(monotonicMs() - sentAt);
        if (response.term > group.term) group.onHigherTerm(response.term);
        if (response.granted) granted += 1;
      } catch {
        // An unreachable voter counts as not granted.
      }
      pending -= 1;
      resolveIfDecided();
    };
    resolveIfDecided();
    for (const voter of others) void requestVote(voter);
  });
}
