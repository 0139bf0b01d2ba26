/**
 * The lease registry of a controller: handles the messages of followers, and has learned changes sent to them. A node
 * is granted a lease only where it has applied all that is known here, so that a change is in effect once every live
 * lease covers it.
 */

import { isDeepStrictEqual } from 'node:util';
import { Right } from 'purify-ts';
import { appliedEntries, ChangeMessage } from '../../shared/replication/change-message';
import { ChunkRequest } from '../../shared/replication/chunk-fetcher';
import { LeaseReply } from '../../shared/replication/lease-renewal';
import { PermitGrant } from '../../shared/replication/warm-up-permits';
import { failure } from '../../shared/errors/errors';
import { Ports } from '../../shared/ports/ports';
import { TimeLimits } from '../../shared/settings/time-limits';
import { Member } from '../../shared/state/members';
import { Version, VersionedValue } from '../../shared/state/versions';
import { VoterSet } from '../../shared/state/voter-set';
import { PeerChannel } from '../../shared/transport/peer-channel';
import { HandlerResult, messageHandler } from '../../shared/transport/message-handlers';
import { ControlStore } from '../storage/control-store';
import { ChangeSender, makeChangeSender } from './change-sender';
import { EffectWaiter } from './effect-waiter';
import { lagMetricRows } from './follower-lag';
import { LearnedChanges } from './learned-changes';
import { AppliedVersions, EffectRequest, FetchRequest, LeaseRequest } from './lease-messages';
import { LeaseHolder, LeaseTable } from './lease-table';
import { compareNames, membershipDelta } from './membership-view';

/** How far a router has applied a key; no place where it has nothing of it. The field names are sent to operators. */
export interface RouterProgress {
  name: string;
  place?: Version;
}

/** What leases carry of engines that may be cold: permits to send to them, and which of them can't be reached. */
export interface WarmUpSource {
  /** All permits of a node from now on; `knowsLast` tells that it has applied what it was granted last. */
  grant: (member: Member, knowsLast: boolean) => PermitGrant[];
  /** Takes a node's permits back, as it has left by itself. */
  release: (member: Member) => void;
  /** Notes the engines that a router could not connect to. */
  noteUnreachable: (member: Member, engines: readonly string[]) => void;
  /** The engines that count as unreachable. */
  unreachable: () => string[];
}

/** Leases that nodes hold at this controller, and the changes that they are sent. */
export class LeaseRegistry {
  private readonly table: LeaseTable;
  private readonly changes: LearnedChanges;
  private readonly effects: EffectWaiter;

  constructor(
    private readonly store: ControlStore,
    private readonly ports: Ports,
    private readonly timeLimits: TimeLimits,
    private readonly voters: () => VoterSet | undefined,
    private readonly warmUp?: WarmUpSource,
  ) {
    const confirm = this.confirmAll.bind(this);
    this.table = new LeaseTable(ports.clock, timeLimits);
    this.changes = new LearnedChanges(store, ports.clock);
    this.effects = new EffectWaiter({ store, ports, timeLimits, table: this.table, confirm });
  }

  /** The nodes whose lease here has not expired. */
  members(): Member[] {
    return this.table.view().members;
  }

  /** How far each live router has applied a key. */
  appliedVersions(key: string): RouterProgress[] {
    const progress: RouterProgress[] = [];
    for (const { member, applied } of this.table.liveRouters())
      progress.push({ name: member.name, place: applied.get(key) });
    return progress.sort(compareNames);
  }

  /** For how long, at the most, a live router has lacked a later version of a key than it holds, in ms. */
  routerLagMs(key: string): number {
    let longestMs = 0;
    for (const { applied } of this.table.liveRouters())
      longestMs = Math.max(longestMs, this.changes.lagMs(key, applied.get(key)));
    return longestMs;
  }

  /** The lags of routers, as metric rows. */
  lagRows(): string[] {
    return lagMetricRows(this.changes.keys(), this.routerLagMs.bind(this));
  }

  /** Takes note of a change that is learned here; its owner sends it to the followers, the others leave that to the followers' next renewals. */
  publish(change: VersionedValue, isOwner = true): void {
    this.effects.wake();
    this.changes.note(change);
    if (isOwner) for (const holder of this.table.all()) holder.sender.send(change.key);
    else if (this.effects.isAwaited(change.key)) this.confirmAll(change.key);
  }

  /** Sends every follower a notification that is no change. */
  notifyAll(type: string, body: unknown): void {
    for (const holder of this.table.all()) holder.channel.notify(type, body);
  }

  /** Grants or renews a lease, only to a node that has applied all that is known here. */
  @messageHandler('claim', LeaseRequest)
  lease(request: LeaseRequest, channel: PeerChannel): HandlerResult {
    const { name } = request.member;
    const voters = this.voters();
    if (!voters)
      return Promise.resolve(failure('claim', name, 'not founded', 'refused', 'not-founded'));
    const known = this.table.get(request.member);
    const isRenewal = request.has === undefined;
    if (isRenewal && known?.channel !== channel)
      return Promise.resolve(
        failure('claim', name, 'no claim on this stream to go by', 'refused', 'tell-all'),
      );
    if (request.unreachable) this.warmUp?.noteUnreachable(request.member, request.unreachable);
    const before = isRenewal ? known : undefined;
    const applied = noteApplied(request, before);
    const coveredCount = this.changes.count();
    const missing = this.changes.missing(applied, before?.coveredCount);
    this.logLag(name, missing, applied);
    if (missing.length > 0) return Promise.resolve(Right(this.refuse(request, missing, voters)));
    const sender = before?.sender ?? this.makeSender(channel, request, applied);
    const { member } = request;
    const holder = this.table.grant({ member, applied, channel, coveredCount, sender });
    this.effects.wake();
    return Promise.resolve(Right(this.grant(request, holder, before, voters)));
  }

  /** Ends a lease at once, when a node leaves by itself. */
  @messageHandler('leave', LeaseRequest)
  leave(request: LeaseRequest): HandlerResult {
    this.table.release(request.member);
    this.warmUp?.release(request.member);
    this.effects.wake();
    return Promise.resolve(Right(undefined));
  }

  /** Gives the newest versions of some keys, as differences to the versions that the follower holds. */
  @messageHandler('fetch-changes', FetchRequest)
  fetch(request: FetchRequest): HandlerResult {
    return Promise.resolve(
      Right(this.changes.messagesAfter(request.held, request.pieces === true)),
    );
  }

  /** Gives one chunk of a change that this or another controller offered. */
  @messageHandler('change-piece', ChunkRequest)
  piece(request: ChunkRequest): HandlerResult {
    const bytes = this.changes.chunk(request);
    if (bytes) return Promise.resolve(Right(bytes));
    const reason = `${request.key} is not to be had`;
    return Promise.resolve(
      failure('change piece', this.store.diskId, reason, 'refused', 'not-known'),
    );
  }

  /** Comes back when every router with a live lease has the change, or its lease has expired; an error of code `pending` where that takes too long. */
  @messageHandler('effect', EffectRequest)
  async effect(request: EffectRequest): HandlerResult {
    const disk = this.store.diskId;
    return (await this.effects.wait(request))
      ? Right({ disk })
      : failure('effect', disk, 'not all have it yet', 'unknown', 'pending');
  }

  /** Asks the followers that are not known to have a key's newest version whether they have it, and sends it where not. */
  private confirmAll(key: string): void {
    for (const holder of this.table.all()) holder.sender.confirm(key);
  }

  /** The reply to a follower that lacks changes. */
  private refuse(request: LeaseRequest, missing: VersionedValue[], voters: VoterSet): LeaseReply {
    const disk = this.store.diskId;
    if (!request.fetches) return { granted: false, disk, missing, voters, members: [] };
    return { granted: false, disk, lacking: appliedEntries(missing), voters, members: [] };
  }

  /** The reply to a follower that is granted a lease: it names voters, members and permits only where they changed since its last request on this channel. */
  private grant(
    request: LeaseRequest,
    holder: LeaseHolder,
    before: LeaseHolder | undefined,
    voters: VoterSet,
  ): LeaseReply {
    const view = this.table.view();
    const last = before?.lastSent;
    const permits = this.warmUp?.grant(request.member, last !== undefined) ?? [];
    const unreachable = this.warmUp?.unreachable() ?? [];
    const granted: LeaseReply = {
      granted: true,
      disk: this.store.diskId,
      missing: [],
      ...(isDeepStrictEqual(permits, last?.permits ?? []) ? {} : { permits }),
      ...(isDeepStrictEqual(unreachable, last?.unreachable ?? []) ? {} : { unreachable }),
    };
    holder.lastSent = { voters, view, permits, unreachable };
    if (last?.voters === voters && last.view === view) return granted;
    return last?.voters === voters && request.deltas
      ? { ...granted, ...membershipDelta(last.view.members, view.members) }
      : { ...granted, voters, members: view.members };
  }

  private makeSender(
    channel: PeerChannel,
    request: LeaseRequest,
    applied: AppliedVersions,
  ): ChangeSender {
    const { changes } = this;
    function messageFor(
      change: VersionedValue,
      followerVersion: Version | undefined,
    ): ChangeMessage {
      return changes.messageFor(change, followerVersion, request.pieces === true);
    }
    return makeChangeSender({
      channel,
      name: request.member.name,
      applied,
      timeoutMs: this.timeLimits.requestTimeoutMs,
      logger: this.ports.logger,
      newest: changes.newest.bind(changes),
      messageFor,
      onApplied: this.effects.wake.bind(this.effects),
    });
  }

  /** Logs the keys that a follower has lacked for over half of the bound of changes. */
  private logLag(name: string, missing: readonly VersionedValue[], applied: AppliedVersions): void {
    for (const { key } of missing) {
      const lagMs = Math.round(this.changes.lagMs(key, applied.get(key)));
      if (lagMs > this.timeLimits.lagLogThresholdMs)
        this.ports.logger.warn(
          { event: 'leases.follower-behind', peer: name, key, lagMs },
          `it lacks ${key}`,
        );
    }
  }
}

/** What a follower has applied by its request: all that it lists, or what its last request said with what changed since. */
function noteApplied(request: LeaseRequest, before: LeaseHolder | undefined): AppliedVersions {
  const applied: AppliedVersions = before?.applied ?? new Map<string, Version>();
  for (const [key, epoch, by, number] of request.has ?? request.changed ?? [])
    applied.set(key, { epoch, by, number });
  return applied;
}
