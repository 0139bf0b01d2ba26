/**
 * Consensus on control keys, by Paxos with an owner for each key. A key's owner is a proposer whose epoch a majority of
 * the voters has promised; it commits the key's values one after another, by the acceptors of a majority, and has all
 * voters learn them. Here are the roles (key owner, acceptor and learner), the linearizable reads by a poll of a majority,
 * and the ways by which a controller that lacks values is brought up to date (catch-up, replica sync). What each
 * acceptor must remember is kept by the storage folder.
 */

export { Acceptor } from './acceptor';
export type { AcceptedVersionReply, AcceptorReply } from './acceptor-messages';
export type { LearnedSince } from './controller-catch-up';
export { makeKeyMaintenance } from './key-maintenance';
export type { KeyMaintenance, KeyMaintenanceDependencies } from './key-maintenance';
export { makeKeyOwner } from './key-owner';
export type { ComputeValue, KeyOwner } from './key-owner';
export { ReadHandlers, readIfStable, readLinearizable } from './linearizable-read';
export type { ReadDependencies } from './linearizable-read';
export { ReplicaHandlers, readReplicaProgress, syncReplica, syncReplicas } from './replica-sync';
export type { ReplicaProgress, ReplicaSyncDependencies } from './replica-sync';
export { requestOtherVoter } from './voter-request';
export type { VoterTransport } from './voter-transport';
