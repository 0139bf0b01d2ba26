/**
 * The voter set of the controllers: bootstrap of a cluster by its founders, the liveness view of the voters,
 * reconfiguration by joint consensus, its control loop, graceful leave, announcements to seed nodes, and the status
 * of the voters for operators. Which set should come next is planned by `planVoterSet`, a pure function.
 */

export { type BootstrapDependencies, ClusterBootstrap } from './bootstrap';
export { type LeaveDependencies, leaveGracefully, type LeaveReason } from './graceful-leave';
export { type IdentifyReply } from './identify-reply';
export { requestMembership } from './join-requester';
export { NEW_VOTER_UNWRITABLE } from './joint-set-completion';
export { type LeaveReply, MembershipRequests } from './membership-requests';
export { changeVoterSet, replaceVoter, revertVoterSet } from './reconfiguration';
export { announceToSeeds, type SeedAnnouncerDependencies } from './seed-announcer';
export { VoterConnections, type VoterConnectionsDependencies } from './voter-connections';
export {
  type VoterLiveness,
  type VoterLivenessDependencies,
  VoterLivenessView,
} from './voter-liveness';
export { maintainVoterSet } from './voter-set-controller';
export { planVoterSet, type VoterHealth } from './voter-set-plan';
export {
  type NoLossReason,
  readVoterStatus,
  voterMetricRows,
  type VotersStatus,
  type VoterState,
  type VoterStatus,
} from './voter-status';
