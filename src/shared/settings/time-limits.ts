/**
 * Time limits of a process, in ms, each a ratio of one of the bounds in its settings. So a fleet with other bounds needs
 * no other constants, and what must fit into a bound still does.
 */

import { Settings } from './settings';

/** Leases and the connections that carry them. Ratios are of `changeBoundMs` where nothing else is said. */
export interface LeaseLimits {
  /** How long a node may act by a lease, from when it requested it. 0.7: an acknowledged change is in effect once all leases of those that lack it have expired, and there is time left to commit it. */
  leaseMs: number;
  /** How long a controller takes a lease as lasting, from when it granted it. 1.1 leases: clocks may run at rates that differ by less than a tenth. */
  leaseExpiryMs: number;
  /** The time between renewals of a lease. 0.2 leases: several may fail before the lease expires. */
  leaseRenewalMs: number;
  /** How long a reply of one of our own processes may take. 0.35: half a lease, so that a second request is in time for its renewal. */
  requestTimeoutMs: number;
  /** How long connecting and the handshake may take. 0.2: well within a request's time. */
  connectTimeoutMs: number;
  /** The pause that backoff between connection attempts, and heartbeats, are ratios of. 0.1: several attempts within a lease. */
  retryPauseMs: number;
  /** An accepted connection from which nothing came for this long is closed. The contact bound (`contactMs`) itself: a machine that is out of touch for longer has no claim to other bounds. */
  idleChannelTimeoutMs: number;
  /** A zone from which nothing was heard for longer may be cut off. 0.5: several renewals of leases, and longer than a killed process is away. */
  zoneSilenceMs: number;
  /** A node that lacks a change for longer is logged. 0.5: late enough that it is no ordinary delay, and before the bound. */
  lagLogThresholdMs: number;
}

/** Changes of the control state. */
export interface ChangeLimits {
  /** How long a change waits for its effect at all nodes. 0.95 of `changeBoundMs`: longer than any lease lasts at a controller, and within the bound. */
  effectTimeoutMs: number;
  /** How long a controller waits for another that it forwards a change to. 0.1 of `ackMs`: several owners may be tried. */
  forwardTimeoutMs: number;
  /** How much longer it waits for an owner that reports that it works on the change. 0.35 of `ackMs`: enough for a commit, with time left for another owner. */
  inProgressExtensionMs: number;
}

/** The voter set. */
export interface MembershipLimits {
  /**
   * A voter that is unreachable for this long is replaced by a machine that is here. 0.25 of `catchUpMs`: what follows
   * takes up to `leaseExpiryMs`, until no router goes by the old set alone, and must be over `catchUpMs` after that
   * machine's start.
   */
  voterLostAfterMs: number;
  /**
   * For how long the voters of a zone that is unreachable as a whole keep their places, where no other machine keeps the
   * zones apart. 4 of `catchUpMs`: longer than a cut that heals by itself.
   */
  zoneLostAfterMs: number;
  /** How long a machine that replaces a lost disk is waited for. 0.5 of `catchUpMs`: another machine may still take its place. */
  diskRepairMs: number;
  /** How long a majority of the founders waits for the rest, where it may found. 0.25 of `contactMs`: all that start at about the same time are in. */
  bootstrapWaitMs: number;
}

/** Graceful shutdown; a process is killed `graceMs` after it is told to end. */
export interface ShutdownLimits {
  /** How long a router lets its requests finish. 0.8 of `graceMs`: the rest is for closing. */
  drainTimeoutMs: number;
  /** How long a controller takes to hand over at the most. 0.75 of `graceMs`. */
  leaveTimeoutMs: number;
  /** How long it then answers the calls that it has accepted. 0.15 of `graceMs`: both fit into it. */
  callDrainTimeoutMs: number;
}

/** Engines: their list, their state, and requests to them. Ratios are of `leavingBoundMs` where nothing else is said. */
export interface EngineLimits {
  /** The time between reads of the platform's list. 0.12, or 0.2 where routers need no lasting lease (`strict`): a read, its commit and its effect fit into the bound. */
  platformPollMs: number;
  /** How long an engine's status may take. 0.1: a lost reply delays what depends on it by little of the bound. */
  statusTimeoutMs: number;
  /** How long an engine is not used after faults; repeated faults multiply it. 0.5: an engine that recovers is used again within the bound. */
  circuitOpenMs: number;
  /** How long an engine that drains may finish its requests before they are cut off. 0.4: with the time until the notice of it, within the bound. */
  drainingEngineCutMs: number;
  /** How long a notice that an engine drains is kept where lists show it serving. The bound itself: by then the platform's list shows it. */
  drainingNoticeTtlMs: number;
}

/** Model weights. Ratios are of `weightsBoundMs` where nothing else is said. */
export interface WeightsLimits {
  /** When superseded weights are retired. 0.75: the rest is for the commit and its effect. */
  oldWeightsRetireMs: number;
  /** How old an order to an engine may be on its arrival. 0.2 leases (of `leaseMs` above): it is given up long before another controller may order the engine. */
  orderFreshnessMs: number;
  /** When all engines have new weights. 0.6: before the old ones are retired. */
  rolloutTargetMs: number;
  /** How long an engine may load new weights until its report is read anew. 0.4: there is time for a second order. */
  weightsLoadTimeoutMs: number;
  /** How long an engine is taken to load new weights, before that was measured. 0.1. */
  initialWeightsLoadMs: number;
  /** How old an engine's report may be. 0.04: many reports within a roll-out. */
  engineReportMaxAgeMs: number;
}

/** Singleton roles, which one controller at a time has. Ratios are of the setting `leaseMs`, within which holders must not change. */
export interface SingletonLimits {
  /** How long a holder may act by what a majority confirmed. 0.05: with what it may still have sent, well under `singletonTakeoverMs`. */
  singletonFreshMs: number;
  /** How long a role must be silent until another may take it. 1.2: a lease, and what the last holder may still have in flight. */
  singletonTakeoverMs: number;
  /** How long an order to an engine may be in flight. 0.1: it ends within the part of `singletonTakeoverMs` that is over a lease. */
  engineOrderTimeoutMs: number;
}

/** The index of kept prompt blocks. Ratios are of `changeBoundMs` where nothing else is said. */
export interface IndexLimits {
  /** How long a router waits for an indexer. 0.025: a request without the reply costs less than one that waits. */
  indexQueryTimeoutMs: number;
  /** How long an indexer waits for peers and sources at its start, before it copies a peer's index. 0.5. */
  indexStartDelayMs: number;
  /** The same with a platform adapter. 0.15. */
  adapterIndexStartDelayMs: number;
  /** How long a pull of our own engines' feeds may take. 3 times `leavingBoundMs`: they hold it until there are events. */
  feedPollMs: number;
  /** How long a platform's engine holds a pull of its feed until there are events (long poll). 0.5. */
  feedLongPollMs: number;
  /** How long events are let gather between two pulls of a feed. 0.1 of `leavingBoundMs`: the price of a pull is shared by more events. */
  feedBatchingDelayMs: number;
  /** How long a block that a router placed counts as pending at its engine, until an event reports it. 0.75. */
  pendingBlockTtlMs: number;
  /** How old an engine's load may be to count. 0.3 of `contactMs`. */
  loadReportExpiryMs: number;
  /** The time between repairs of sources with lost events. 0.2. */
  repairIntervalMs: number;
  /** The least time between two repairs of one source. 5: a list holds up the work of its engine. */
  sourceRepairCooldownMs: number;
}

/** Tallies. Ratios are of `mergeMs`. */
export interface TallyLimits {
  /** The time between comparisons with a controller that is connected. 0.2: what a message lost is there well within the bound. */
  tallyCompareMs: number;
  /** How long a controller waits after its start until it has caught up. 0.5: those that are not back by then may stay away. */
  tallyCatchUpMs: number;
  /** How long the first calls wait while a controller catches up. 0.05: the caller has time for another one. */
  tallyFirstWaitMs: number;
  /** Calls wait for this long for controllers that went away to hold copies. 0.1: connections that were only reset are back, and the caller has time for another controller. */
  tallyReconnectMs: number;
  /** A disk that works on one write for longer is given no additions. 0.05: the caller has time for another controller. */
  tallyDiskStallMs: number;
}

/** The time limits of a process, in ms. */
export interface TimeLimits
  extends
    LeaseLimits,
    ChangeLimits,
    MembershipLimits,
    ShutdownLimits,
    EngineLimits,
    WeightsLimits,
    SingletonLimits,
    IndexLimits,
    TallyLimits {}

/** The lease of a node as a ratio of the bound of a change. */
const LEASE_RATIO = 0.7;

function leaseLimitsOf({ changeBoundMs, contactMs }: Settings): LeaseLimits {
  const leaseMs = changeBoundMs * LEASE_RATIO;
  return {
    leaseMs,
    leaseExpiryMs: leaseMs * 1.1,
    leaseRenewalMs: leaseMs * 0.2,
    requestTimeoutMs: changeBoundMs * 0.35,
    connectTimeoutMs: changeBoundMs * 0.2,
    retryPauseMs: changeBoundMs * 0.1,
    idleChannelTimeoutMs: contactMs,
    zoneSilenceMs: changeBoundMs * 0.5,
    lagLogThresholdMs: changeBoundMs * 0.5,
  };
}

function changeLimitsOf({ changeBoundMs, ackMs }: Settings): ChangeLimits {
  return {
    effectTimeoutMs: changeBoundMs * 0.95,
    forwardTimeoutMs: ackMs * 0.1,
    inProgressExtensionMs: ackMs * 0.35,
  };
}

function membershipLimitsOf({ catchUpMs, contactMs }: Settings): MembershipLimits {
  return {
    voterLostAfterMs: catchUpMs * 0.25,
    zoneLostAfterMs: catchUpMs * 4,
    diskRepairMs: catchUpMs * 0.5,
    bootstrapWaitMs: contactMs * 0.25,
  };
}

function shutdownLimitsOf({ graceMs }: Settings): ShutdownLimits {
  return {
    drainTimeoutMs: graceMs * 0.8,
    leaveTimeoutMs: graceMs * 0.75,
    callDrainTimeoutMs: graceMs * 0.15,
  };
}

function engineLimitsOf({ leavingBoundMs, strict }: Settings): EngineLimits {
  return {
    platformPollMs: leavingBoundMs * (strict ? 0.12 : 0.2),
    statusTimeoutMs: leavingBoundMs * 0.1,
    circuitOpenMs: leavingBoundMs * 0.5,
    drainingEngineCutMs: leavingBoundMs * 0.4,
    drainingNoticeTtlMs: leavingBoundMs,
  };
}

function weightsLimitsOf({ weightsBoundMs, changeBoundMs }: Settings): WeightsLimits {
  return {
    oldWeightsRetireMs: weightsBoundMs * 0.75,
    orderFreshnessMs: changeBoundMs * LEASE_RATIO * 0.2,
    rolloutTargetMs: weightsBoundMs * 0.6,
    weightsLoadTimeoutMs: weightsBoundMs * 0.4,
    initialWeightsLoadMs: weightsBoundMs * 0.1,
    engineReportMaxAgeMs: weightsBoundMs * 0.04,
  };
}

function singletonLimitsOf({ leaseMs }: Settings): SingletonLimits {
  return {
    singletonFreshMs: leaseMs * 0.05,
    singletonTakeoverMs: leaseMs * 1.2,
    engineOrderTimeoutMs: leaseMs * 0.1,
  };
}

function indexLimitsOf({ changeBoundMs, leavingBoundMs, contactMs }: Settings): IndexLimits {
  return {
    indexQueryTimeoutMs: changeBoundMs * 0.025,
    indexStartDelayMs: changeBoundMs * 0.5,
    adapterIndexStartDelayMs: changeBoundMs * 0.15,
    feedPollMs: leavingBoundMs * 3,
    feedLongPollMs: changeBoundMs * 0.5,
    feedBatchingDelayMs: leavingBoundMs * 0.1,
    pendingBlockTtlMs: changeBoundMs * 0.75,
    loadReportExpiryMs: contactMs * 0.3,
    repairIntervalMs: changeBoundMs * 0.2,
    sourceRepairCooldownMs: changeBoundMs * 5,
  };
}

function tallyLimitsOf({ mergeMs }: Settings): TallyLimits {
  return {
    tallyCompareMs: mergeMs * 0.2,
    tallyCatchUpMs: mergeMs * 0.5,
    tallyFirstWaitMs: mergeMs * 0.05,
    tallyReconnectMs: mergeMs * 0.1,
    tallyDiskStallMs: mergeMs * 0.05,
  };
}

/** Derives the time limits from the bounds in the settings. */
export function timeLimitsOf(settings: Settings): TimeLimits {
  return {
    ...leaseLimitsOf(settings),
    ...changeLimitsOf(settings),
    ...membershipLimitsOf(settings),
    ...shutdownLimitsOf(settings),
    ...engineLimitsOf(settings),
    ...weightsLimitsOf(settings),
    ...singletonLimitsOf(settings),
    ...indexLimitsOf(settings),
    ...tallyLimitsOf(settings),
  };
}
