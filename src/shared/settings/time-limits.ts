/**
 * Time limits of a process, each derived from the bounds in its settings.
 */

import { Settings } from './settings';

/** Times that follow from the bounds; every constant is a ratio to one. */
export interface TimeLimits {
  leaseMs: number;
  leaseExpiryMs: number;
  leaseRenewalMs: number;
  requestTimeoutMs: number;
  connectTimeoutMs: number;
  retryPauseMs: number;
  platformPollMs: number;
  effectTimeoutMs: number;
  oldWeightsRetireMs: number;
  indexQueryTimeoutMs: number;
  statusTimeoutMs: number;
  feedPollMs: number;
  circuitOpenMs: number;
  indexStartDelayMs: number;
  drainTimeoutMs: number;
  orderFreshnessMs: number;
  drainingEngineCutMs: number;
  /** A node that has lacked a change for longer is logged. */
  lagLogThresholdMs: number;
  /** How long it is remembered that an engine is heard to leave, where lists show it serving. */
  drainingNoticeTtlMs: number;
  feedLongPollMs: number;
  feedBatchingDelayMs: number;
  pendingBlockTtlMs: number;
  loadReportExpiryMs: number;
  repairIntervalMs: number;
  sourceRepairCooldownMs: number;
  adapterIndexStartDelayMs: number;
  /** Whoever is asked to make a change in another's place waits this long for it. */
  forwardTimeoutMs: number;
  /** An owner that tells that it works on an order is waited for so much longer. */
  inProgressExtensionMs: number;
  /**
   * A voter that is unreachable for this long gives way to a machine that is here. What follows takes up to
   * `leaseHeld`, until no router goes by the old set alone, and must be over `catchUpMs` after that machine's start.
   */
  voterLostAfterMs: number;
  /** A newcomer that replaces a lost disk is waited for this long. */
  diskRepairMs: number;
  /** A controller that was told to end stays this long at the most. */
  leaveTimeoutMs: number;
  /** It answers the calls that it has taken within this, after that. */
  callDrainTimeoutMs: number;
  /** A majority of the founders waits this long for the rest, where it may found. */
  bootstrapWaitMs: number;
  /** A taken connection that is silent for this long is closed. */
  idleChannelTimeoutMs: number;
  /** How long a duty's holder may act on what a majority confirmed. */
  singletonFreshMs: number;
  /** How long a duty stands still before another may take it: a lease, and what its last holder may still have on its way. */
  singletonTakeoverMs: number;
  /** The longest that an order to an engine is on its way. */
  engineOrderTimeoutMs: number;
  /** How long an engine may take over new weights until it is looked at anew. */
  weightsLoadTimeoutMs: number;
  /** What an engine needs for new weights, before that was seen. */
  initialWeightsLoadMs: number;
  /** How old an engine's report may be. */
  engineReportMaxAgeMs: number;
  /** All engines have new weights within this. */
  rolloutTargetMs: number;
}

/** Derives the times from the bounds. */
export function timeLimitsOf(s: Settings): TimeLimits {
  const lease = s.changeBoundMs * 0.7;
  return {
    leaseMs: lease,
    leaseExpiryMs: lease * 1.1,
    leaseRenewalMs: lease * 0.2,
    requestTimeoutMs: s.changeBoundMs * 0.35,
    connectTimeoutMs: s.changeBoundMs * 0.2,
    retryPauseMs: s.changeBoundMs * 0.1,
    platformPollMs: s.leavingBoundMs * (s.strict ? 0.12 : 0.2),
    effectTimeoutMs: s.changeBoundMs * 0.95,
    oldWeightsRetireMs: s.weightsBoundMs * 0.75,
    indexQueryTimeoutMs: s.changeBoundMs * 0.025,
    statusTimeoutMs: s.leavingBoundMs * 0.1,
    feedPollMs: s.leavingBoundMs * 3,
    circuitOpenMs: s.leavingBoundMs * 0.5,
    indexStartDelayMs: s.changeBoundMs * 0.5,
    drainTimeoutMs: s.graceMs * 0.8,
    orderFreshnessMs: lease * 0.2,
    drainingEngineCutMs: s.leavingBoundMs * 0.4,
    lagLogThresholdMs: s.changeBoundMs * 0.5,
    drainingNoticeTtlMs: s.leavingBoundMs,
    feedLongPollMs: s.changeBoundMs * 0.5,
    feedBatchingDelayMs: s.leavingBoundMs * 0.1,
    pendingBlockTtlMs: s.changeBoundMs * 0.75,
    loadReportExpiryMs: s.contactMs * 0.3,
    repairIntervalMs: s.changeBoundMs * 0.2,
    sourceRepairCooldownMs: s.changeBoundMs * 5,
    adapterIndexStartDelayMs: s.changeBoundMs * 0.15,
    forwardTimeoutMs: s.ackMs * 0.1,
    inProgressExtensionMs: s.ackMs * 0.35,
    voterLostAfterMs: s.catchUpMs * 0.25,
    diskRepairMs: s.catchUpMs * 0.5,
    leaveTimeoutMs: s.graceMs * 0.75,
    callDrainTimeoutMs: s.graceMs * 0.15,
    bootstrapWaitMs: s.contactMs * 0.25,
    idleChannelTimeoutMs: s.contactMs,
    singletonFreshMs: s.leaseMs * 0.05,
    singletonTakeoverMs: s.leaseMs * 1.2,
    engineOrderTimeoutMs: s.leaseMs * 0.1,
    weightsLoadTimeoutMs: s.weightsBoundMs * 0.4,
    initialWeightsLoadMs: s.weightsBoundMs * 0.1,
    engineReportMaxAgeMs: s.weightsBoundMs * 0.04,
    rolloutTargetMs: s.weightsBoundMs * 0.6,
  };
}
