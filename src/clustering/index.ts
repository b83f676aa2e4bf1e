/** Membership changes of replicated groups: admission, replacement and removal of members. */
export { runAdmissionTask, type AdmissionTaskOptions } from './admission-task.js';
export { LeaderBalancer } from './leader-balancer.js';
export * from './messages.js';
export { VoterSetManager, type VoterSetManagerOptions } from './voter-set-manager.js';
export { planMembershipStep, type MembershipStep, type VoterPlanInput } from './voter-plan.js';
