/** Modelled operators: each sends orders and reads by a short script, and tries again elsewhere where an answer isn't clear. */
import { Left } from 'purify-ts';
import { ChangeResult } from '../../src/control/configuration/change-coordinator';
import { Operation } from '../../src/control/configuration/operations';
import { OperationError, makeError, errorOrValue, Result } from '../../src/shared/errors/errors';
import { CONTROL_KEYS } from '../../src/shared/state/control-keys';
import { TenantAccess } from '../../src/shared/state/deployment';
import { VersionedValue } from '../../src/shared/state/versions';
import { Voter, VoterSet } from '../../src/shared/state/voter-set';
import { pollVoters } from '../../src/shared/transport/quorum-poll';
import { Checker, Order, versionOf } from './invariants';
import { Mutation } from './mutations';
import { Endpoint, Network } from './network';
import { BOOTSTRAP, ModelNode, ORDER, READ, REPLACE } from './node';
import { Scheduler } from './scheduler';

/**
 * One step of a script: an order on what the operator knows, the last order once more, a change of the voters, a run under
 * the idempotency key that all share, or a read.
 */
export type Step =
  | { do: 'deploy' }
  | { do: 'deploy again' }
  | { do: 'name weights' }
  | { do: 'replace emptied voters' }
  | { do: 'take a step of the bootstrap' }
  | { do: 'use idempotency key'; then: 'done' | 'released' }
  | { do: 'read'; key: string };

/** The key of the modelled weights. */
export const WEIGHTS_KEY = `${CONTROL_KEYS.weights}m`;

/** The idempotency key of all runs. */
const IDEMPOTENCY_KEY = 'key';

/** One disk's reply to the message `vote`. */
interface VoteReply {
  disk: string;
  run: string;
}

/** Tenants of a long document: more than 2,000 bytes. */
const LONG_DOCUMENT_TENANTS = 40;

const ATTEMPTS = 3;
/** Revisions of different operators differ in their last digits. */
const REVISION_STEP = 10;

/** What the operators of a world share. */
export interface OperatorParts {
  scheduler: Scheduler;
  network: Network;
  checker: Checker;
  mutation: Mutation;
  nodes: ModelNode[];
  /** Whether documents are so long that a change of one is sent and stored as a difference. */
  hasLongDocuments: boolean;
  /** The voters that a run asks for its key. */
  voters: () => VoterSet;
}

interface SentOrder {
  order: Order;
  op: Operation;
  /** Whether all its attempts so far were told as certainly refused. */
  wasOnlyRefused: boolean;
}

/** Tenants of a document, of which one differs from those of most other revisions. */
function tenantsOf(revision: number): TenantAccess[] {
  const tenants: TenantAccess[] = [];
  for (let i = 0; i < LONG_DOCUMENT_TENANTS; i++) {
    const priority = i === revision % LONG_DOCUMENT_TENANTS ? revision : 0;
    tenants.push({ name: `tenant-${i}`, keys: [`key-${i}`], priority, isolated: false });
  }
  return tenants;
}

function isClear(f: OperationError): boolean {
  return f.code === 'conflict' || f.code === 'bad-deployment';
}

/** An operator, who carries a script out step by step; steps begin at different nodes for different operators. */
export class Operator implements Endpoint {
  readonly name: string;
  life = 1;
  frozen = false;
  serving = true;
  history = '';
  sent = 0;
  /** The count of steps that are done. */
  private position = 0;
  /** The newest revision of the deployment that this operator knows. */
  private knownRevision = 0;
  private orders = 0;
  private runs = 0;
  private last: SentOrder | undefined;

  constructor(
    private readonly index: number,
    private readonly script: readonly Step[],
    private readonly parts: OperatorParts,
  ) {
    this.name = `operator-${index + 1}`;
  }

  /** Makes the next step of the script an event, and each later one as the step before it ends. */
  begin(): void {
    const step = this.script.at(this.position);
    if (!step) return;
    const label = `${this.name} begins step ${this.position + 1}: ${step.do}`;
    const run = this.startStep.bind(this, step);
    this.parts.scheduler.add(this, { class: 'progress', kind: 'operator', label, run });
  }

  handle(type: string): Promise<Result<unknown>> {
    const error = makeError(type, this.name, 'asks only', 'refused', 'not-known');
    return Promise.resolve(Left(error));
  }

  /** Where the script stands. */
  describe(): string {
    const { knownRevision, last, name, orders, position, runs } = this;
    return `${name} ${position} ${knownRevision} ${orders} ${runs} ${last?.order.version} ${last?.wasOnlyRefused}`;
  }

  private startStep(step: Step): void {
    void this.carryOut(step).then(this.endStep.bind(this));
  }

  private endStep(): void {
    this.position++;
    this.begin();
  }

  private carryOut(step: Step): Promise<void> {
    switch (step.do) {
      case 'deploy':
        this.last = this.nextDeployment();
        return this.sendOrder(this.last);
      case 'deploy again':
        return this.sendAgain();
      case 'name weights':
        return this.sendOrder(this.nextWeights());
      case 'replace emptied voters':
        return this.replaceVoters();
      case 'take a step of the bootstrap':
        return this.bootstrap();
      case 'use idempotency key':
        return this.useKey(step.then);
      case 'read':
        return this.read(step.key);
    }
  }

  private nextDeployment(): SentOrder {
    const tens = Math.max(++this.orders, Math.floor(this.knownRevision / REVISION_STEP) + 1);
    this.orders = tens;
    const base = this.knownRevision;
    const revision = tens * REVISION_STEP + this.index;
    const tenants = this.parts.hasLongDocuments ? tenantsOf(revision) : [];
    const doc = { revision, routes: [], pools: [], tenants };
    return {
      order: { key: CONTROL_KEYS.deployment, version: revision, base },
      op: { kind: 'deployment', base, doc },
      wasOnlyRefused: true,
    };
  }

  private nextWeights(): SentOrder {
    const rank = ++this.orders * REVISION_STEP + this.index;
    return {
      order: { key: WEIGHTS_KEY, version: rank },
      op: { kind: 'weights', model: 'm', weights: `w${rank}`, rank },
      wasOnlyRefused: true,
    };
  }

  private sendAgain(): Promise<void> {
    const { last } = this;
    const wasAcknowledged = last && this.parts.checker.isAcknowledged(last.order);
    return wasAcknowledged ? this.sendOrder(last) : Promise.resolve();
  }

  private async sendOrder(sent: SentOrder): Promise<void> {
    const { checker } = this.parts;
    const { order } = sent;
    for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
      const wasAcknowledged = checker.isAcknowledged(order);
      const error = await this.sendOnce(sent, attempt);
      const isTaken = !error || error.code === 'stands';
      if (wasAcknowledged && (isTaken || isClear(error)))
        return checker.answeredAgain(order, isTaken ? undefined : error.reason);
      if (isTaken) return this.noteAcknowledged(sent);
      if (isClear(error)) return checker.refused(order, error.reason, 'refused-stays-out');
      if (error.certainty !== 'refused') sent.wasOnlyRefused = false;
    }
    if (sent.wasOnlyRefused)
      checker.refused(order, 'every answer was of class refused', 'class-refused-stays-out');
  }

  /** Sends an order to one node; the error that it answers, if any. */
  private async sendOnce({ op }: SentOrder, attempt: number): Promise<OperationError | undefined> {
    const { mutation, network } = this.parts;
    const answer = await network.ask(this, this.nodeAt(attempt), ORDER, op);
    const result = answer as Result<ChangeResult>;
    const [error] = errorOrValue(mutation.answer?.(result) ?? result);
    return error;
  }

  private noteAcknowledged(sent: SentOrder): void {
    const { order } = sent;
    sent.wasOnlyRefused = false;
    this.parts.checker.acknowledged(order);
    if (order.key === CONTROL_KEYS.deployment) this.noteRevision(order.version);
  }

  private noteRevision(revision: number): void {
    this.knownRevision = Math.max(this.knownRevision, revision);
  }

  private async replaceVoters(): Promise<void> {
    for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
      const reply = await this.parts.network.ask(this, this.nodeAt(attempt), REPLACE, {});
      if (reply.isRight()) return;
    }
  }

  /** The round of one controller, each operator that of its own. */
  private async bootstrap(): Promise<void> {
    const { network, nodes } = this.parts;
    await network.ask(this, nodes[this.index % nodes.length], BOOTSTRAP, {});
  }

  /** Begins a run: only one that has its key at a majority may go on, and reports how it ended. */
  private async useKey(state: 'done' | 'released'): Promise<void> {
    const { checker, voters } = this.parts;
    const run = `${this.name}.${++this.runs}`;
    function isForThisRun(reply: VoteReply, voter: Voter): boolean {
      return reply.disk === voter.disk && reply.run === run;
    }
    const requestVote = this.requestVote.bind(this, run);
    const [error] = errorOrValue(await pollVoters<VoteReply>(voters(), requestVote, isForThisRun));
    if (error) return;
    checker.acquired(IDEMPOTENCY_KEY, run);
    if (state === 'released') checker.released(IDEMPOTENCY_KEY, run);
    await Promise.all(voters().now.map(this.reportState.bind(this, run, state)));
  }

  private requestVote(run: string, voter: Voter): Promise<Result<VoteReply>> {
    const body = { key: IDEMPOTENCY_KEY, run };
    const reply = this.parts.network.ask(this, this.nodeOf(voter), 'vote', body);
    return reply as Promise<Result<VoteReply>>;
  }

  private reportState(run: string, state: string, voter: Voter): Promise<Result<unknown>> {
    const body = { key: IDEMPOTENCY_KEY, run, state };
    return this.parts.network.ask(this, this.nodeOf(voter), 'run', body);
  }

  private async read(key: string): Promise<void> {
    const { checker, network } = this.parts;
    for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
      const begun = checker.begin('read', key);
      const answer = await network.ask(this, this.nodeAt(attempt), READ, { key });
      const [error, found] = errorOrValue(answer as Result<VersionedValue | undefined>);
      if (error) continue;
      checker.read(begun, found);
      if (key === CONTROL_KEYS.deployment) this.noteRevision(versionOf(found));
      return;
    }
  }

  private nodeAt(attempt: number): ModelNode {
    const { nodes } = this.parts;
    return nodes[(this.index + this.position + attempt) % nodes.length];
  }

  private nodeOf({ at: address }: Voter): ModelNode {
    function isNamed(node: ModelNode): boolean {
      return node.name === address;
    }
    return this.parts.nodes.find(isNamed)!;
  }
}
