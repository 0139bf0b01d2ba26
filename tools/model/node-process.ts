/** One incarnation of a modelled node's process: the control code as it is shipped, over the modelled disk and network. */

import { Right } from 'purify-ts';
import {
  ChangeCoordinator,
  ChangeResult,
  makeChangeCoordinator,
} from '../../src/control/configuration/change-coordinator';
import { DocumentParser } from '../../src/control/configuration/deployment-change';
import { Operation } from '../../src/control/configuration/operations';
import { Acceptor } from '../../src/control/consensus/acceptor';
import { KeyOwner, makeKeyOwner } from '../../src/control/consensus/key-owner';
import {
  ReadDependencies,
  ReadHandlers,
  readIfStable,
  readLinearizable,
} from '../../src/control/consensus/linearizable-read';
import { ReplicaHandlers } from '../../src/control/consensus/replica-sync';
import { VoterTransport } from '../../src/control/consensus/voter-transport';
import { IdentifyReply } from '../../src/control/membership/identify-reply';
import { PeerHandlers } from '../../src/control/peer-handlers';
import { ControlStore } from '../../src/control/storage/control-store';
import { IdempotencyVotes } from '../../src/control/storage/idempotency-votes';
import { learnedValues } from '../../src/control/storage/register-state';
import { StoredVotes } from '../../src/control/storage/vote-files';
import { errorOrValue, failure, Result } from '../../src/shared/errors/errors';
import { Ports } from '../../src/shared/ports/ports';
import { defaultSettings, Settings } from '../../src/shared/settings/settings';
import { TimeLimits, timeLimitsOf } from '../../src/shared/settings/time-limits';
import { CONTROL_KEYS } from '../../src/shared/state/control-keys';
import { Deployment, NamedChange } from '../../src/shared/state/deployment';
import { VersionedValue } from '../../src/shared/state/versions';
import { allVoters, Voter, VoterSet } from '../../src/shared/state/voter-set';
import { dispatch } from '../../src/shared/transport/message-handlers';
import { RequestChannel } from '../../src/shared/transport/peer-channel';
import { Founding } from './founding';
import { Checker } from './invariants';
import { Mutation } from './mutations';
import { Endpoint, Network } from './network';
import { replaceEmptied, VotersEdge } from './replace';
import { WatchedOwner } from './watched-owner';

/** How long a vote is kept; no time passes in a world. */
const KEEP_VOTES_MS = 1000;

/** What a process needs of its node and its world. */
export interface NodeProcessDependencies {
  /** The node, as the network knows it. */
  node: Endpoint;
  store: ControlStore;
  ports: Ports;
  network: Network;
  checker: Checker;
  mutation: Mutation;
  hasVotes: boolean;
  /** The founders of a cluster that is not bootstrapped yet; undefined where it is. */
  founders: string[] | undefined;
  /** The node at an address, and the disk that its process has opened. */
  peerAt: (address: string) => PeerNode | undefined;
}

/** Another node, as a process sees it. */
export interface PeerNode extends Endpoint {
  disk: () => string | undefined;
}

/** Reads the documents that orders carry; they are taken as they come. */
const PARSER: DocumentParser = { deployment: readDeployment, namedChange: readNamedChange };

function readDeployment(doc: unknown): ReturnType<DocumentParser['deployment']> {
  return Right(doc as Deployment);
}

function readNamedChange(doc: unknown): ReturnType<DocumentParser['namedChange']> {
  return Right(doc as NamedChange);
}

/** One incarnation of a node's process. */
export class NodeProcess {
  readonly store: ControlStore;
  private readonly ownerId: string;
  private readonly settings: Settings;
  private readonly timeLimits: TimeLimits;
  private readonly acceptor: Acceptor;
  private readonly keyOwner: KeyOwner;
  private readonly changes: ChangeCoordinator;
  private readonly reads: ReadDependencies;
  private readonly votes: IdempotencyVotes;
  private readonly founding: Founding;
  private readonly handlers: readonly object[];

  constructor(private readonly dependencies: NodeProcessDependencies) {
    const { mutation, node, ports, store } = dependencies;
    this.store = store;
    this.ownerId = mutation.ownerName?.(node.name) ?? `${node.name}.${node.life}`;
    this.settings = this.makeSettings();
    this.timeLimits = timeLimitsOf(this.settings);
    const transport = this.makeTransport();
    this.acceptor = new Acceptor(mutation.slots?.(store) ?? store, transport, ports);
    const owner = makeKeyOwner(store, mutation.ownerReach?.(transport, store) ?? transport);
    this.keyOwner = new WatchedOwner(owner, dependencies.checker).keyOwner();
    this.changes = this.makeChanges();
    const reads = this.makeReads();
    this.reads = mutation.reads?.(reads) ?? reads;
    this.votes = new IdempotencyVotes(store, ports, this.voters.bind(this), KEEP_VOTES_MS);
    this.founding = this.makeFounding();
    this.handlers = this.makeHandlers(reads);
  }

  /** Takes over the votes that the disk had stored. */
  startVotes(stored: StoredVotes): Promise<void> {
    return this.votes.start(stored);
  }

  change(operation: Operation): Promise<Result<ChangeResult>> {
    return this.changes.commit(operation);
  }

  read(key: string): Promise<Result<VersionedValue | undefined>> {
    return readLinearizable(this.reads, key);
  }

  /** Takes a step of the bootstrap. */
  bootstrapStep(): Promise<void> {
    return this.founding.step();
  }

  /** Puts the disks that serve now in the places of voters that are gone. */
  replaceVoters(): Promise<Result<VoterSet>> {
    const { mutation, node, ports } = this.dependencies;
    return replaceEmptied({
      name: node.name,
      slots: this.store,
      owner: mutation.carryingOwner?.(this.keyOwner) ?? this.keyOwner,
      ports,
      timeLimits: this.timeLimits,
      voters: this.voters.bind(this),
      change: this.changes.commit,
      askVoter: this.requestVoter.bind(this),
      diskAt: this.diskAt.bind(this),
    });
  }

  /** Handles a message, and tells the checkers what is answered. */
  async handle(type: string, body: unknown): Promise<Result<unknown>> {
    const { checker, mutation } = this.dependencies;
    const dispatchUnchanged = this.dispatchUnchanged.bind(this, type, body);
    const isSettling = type === 'settle';
    const begun = isSettling ? checker.begin('own', (body as { key: string }).key) : undefined;
    const result = await (mutation.handle?.(this.store, type, body, dispatchUnchanged) ??
      dispatchUnchanged());
    this.observe(type, body, result);
    if (begun && result.isRight())
      checker.led(begun, result.extract() as VersionedValue | undefined);
    return result;
  }

  private dispatchUnchanged(type: string, body: unknown): Promise<Result<unknown>> {
    return dispatch(this.handlers, type, body, undefined, this.dependencies.node.name);
  }

  /** Tells the checkers what this disk has answered. */
  private observe(type: string, body: unknown, result: Result<unknown>): void {
    const { checker } = this.dependencies;
    const { diskId } = this.store;
    const [error, answer] = errorOrValue(result);
    if (!error && type === 'found') checker.confirmedBootstrap(diskId, body as VoterSet);
    if (error || (answer as { ok?: boolean } | undefined)?.ok !== true) return;
    if (type === 'prepare') {
      const { key, epoch, by } = body as { key: string; epoch: number; by: string };
      checker.promised(diskId, key, epoch, by);
    }
    if (type === 'accept-delta') checker.acceptedDelta();
    if (type === 'accept') checker.accepted(diskId, (body as { change: VersionedValue }).change);
  }

  private makeSettings(): Settings {
    const { founders, node } = this.dependencies;
    const { name } = node;
    return {
      ...defaultSettings(),
      name,
      wire: name,
      founders: founders ?? [],
      bootstrap: founders !== undefined,
      foundBy: 'majority',
    };
  }

  private makeTransport(): VoterTransport {
    return {
      ownerId: this.ownerId,
      timeoutMs: 0,
      voters: this.voters.bind(this),
      request: this.requestVoter.bind(this),
      onLearned: this.noteLearned.bind(this),
      learnLocally: this.learnLocally.bind(this),
    };
  }

  private makeChanges(): ChangeCoordinator {
    const { mutation, ports } = this.dependencies;
    return makeChangeCoordinator({
      clock: ports.clock,
      random: ports.random,
      settings: this.settings,
      timeLimits: this.timeLimits,
      keyOwner: mutation.changesOwner?.(this.keyOwner) ?? this.keyOwner,
      parser: PARSER,
      voters: this.voters.bind(this),
      liveAddresses: this.liveAddresses.bind(this),
      channelTo: this.channelTo.bind(this),
      dispatchLocally: this.handle.bind(this),
      readIfStable: this.readIfStable.bind(this),
    });
  }

  private makeReads(): ReadDependencies {
    return {
      store: this.store,
      keyOwner: this.keyOwner,
      voters: this.voters.bind(this),
      requestVoter: this.requestVoter.bind(this),
      requestOwner: this.changes.requestOwner,
      learnLocally: this.learnLocally.bind(this),
    };
  }

  private makeFounding(): Founding {
    return new Founding({
      settings: this.settings,
      timeLimits: this.timeLimits,
      clock: this.dependencies.ports.clock,
      store: this.store,
      keyOwner: this.keyOwner,
      voters: this.voters.bind(this),
      liveAddresses: this.liveAddresses.bind(this),
      identify: this.identify.bind(this),
      requestVoter: this.requestVoter.bind(this),
    });
  }

  private makeHandlers(reads: ReadDependencies): object[] {
    const { hasVotes } = this.dependencies;
    return [
      this.acceptor,
      ...(hasVotes ? [this.votes] : []),
      this.makePeerHandlers(),
      new ReadHandlers(reads),
      new ReplicaHandlers(this.store),
      new VotersEdge(this.store),
    ];
  }

  private makePeerHandlers(): PeerHandlers {
    return new PeerHandlers({
      ownerId: this.ownerId,
      store: this.store,
      voters: this.voters.bind(this),
      changeAsOwner: this.changes.changeAsOwner,
      isInProgress: this.changes.isInProgress,
      mayBootstrap: this.dependencies.founders !== undefined,
      committedValues: this.committedValues.bind(this),
      onCoreHint: doNothing,
      isUp: this.isUp.bind(this),
      wake: doNothing,
    });
  }

  private committedValues(): VersionedValue[] {
    return learnedValues(this.store.registers);
  }

  private voters(): VoterSet | undefined {
    const learned = this.store.registers.get(CONTROL_KEYS.voters)?.learned?.value;
    return (learned ?? this.store.bootstrapVoterSet()) as VoterSet | undefined;
  }

  private noteLearned({ by, epoch, key }: VersionedValue): void {
    if (by !== this.ownerId) this.keyOwner.noteNewerEpoch(key, epoch);
  }

  private learnLocally(change: VersionedValue): Promise<unknown> {
    return this.acceptor.learn({ change });
  }

  private requestVoter(voter: Voter, type: string, body: unknown): Promise<Result<unknown>> {
    const { network, node, peerAt } = this.dependencies;
    return voter.disk === this.store.diskId
      ? this.handle(type, body)
      : network.ask(node, peerAt(voter.at)!, type, body);
  }

  private identify(address: string): Promise<Result<IdentifyReply>> {
    const { network, node, peerAt } = this.dependencies;
    const reply = network.ask(node, peerAt(address)!, 'who', {});
    return reply as Promise<Result<IdentifyReply>>;
  }

  private channelTo(address: string): RequestChannel | undefined {
    const { network, node, peerAt } = this.dependencies;
    const peer = peerAt(address);
    if (!peer || !network.isUp(node, peer)) return undefined;
    return { request: network.ask.bind(network, node, peer), peer: address };
  }

  private liveAddresses(): string[] {
    const voters = this.voters();
    return voters ? allVoters(voters).filter(this.isUp.bind(this)).map(addressOf) : [];
  }

  private isUp(voter: Voter): boolean {
    const { network, node, peerAt } = this.dependencies;
    const peer = peerAt(voter.at)!;
    const isSelf = voter.disk === this.store.diskId;
    return isSelf || (network.isUp(node, peer) && peer.disk() === voter.disk);
  }

  private diskAt(address: string): string | undefined {
    return this.dependencies.peerAt(address)?.disk();
  }

  private async readIfStable(key: string): Promise<Result<VersionedValue | undefined>> {
    if (this.dependencies.mutation.withoutVerdictsByRead)
      return failure('read', key, 'not read', 'unknown', 'unsettled');
    return readIfStable(this.reads, key);
  }
}

function addressOf(voter: Voter): string {
  return voter.at;
}

function doNothing(): void {
  // does nothing on purpose
}
