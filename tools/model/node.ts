/** One modelled core machine: a folder that stays, and incarnations of a process that runs the control code on it. */

import { Right } from 'purify-ts';
import { Operation } from '../../src/control/configuration/operations';
import { ControlStore, openControlStore } from '../../src/control/storage/control-store';
import { readStoredVotes, StoredVotes } from '../../src/control/storage/vote-files';
import { errorOrValue, Result } from '../../src/shared/errors/errors';
import { Ports } from '../../src/shared/ports/ports';
import { RandomSource } from '../../src/shared/ports/random';
import { Folder, makeFolder } from './disk';
import { Checker } from './invariants';
import { Mutation } from './mutations';
import { Network } from './network';
import { NodeProcess, PeerNode } from './node-process';
import { makeTimelessClock, SILENT_LOGGER, UNREACHABLE_NETWORK } from './ports';
import { digest, Scheduler } from './scheduler';

/** What an operator asks of a node. */
export const ORDER = 'model-order';
export const READ = 'model-read';
export const REPLACE = 'model-replace';
export const BOOTSTRAP = 'model-bootstrap';

/** What the nodes of a world share. */
export interface NodeParts {
  scheduler: Scheduler;
  network: Network;
  checker: Checker;
  mutation: Mutation;
  /** Bytes of a log after which the other slot is started. */
  mostLog: number;
  syncedReads?: boolean;
  /** Whether disks vote on idempotency keys; without, nodes answer as disks that gave no vote. */
  hasVotes?: boolean;
  /** The founders of a cluster that is not bootstrapped yet. */
  founders?: string[];
  nodes: () => ModelNode[];
}

/** A core machine. */
export class ModelNode implements PeerNode {
  life = 1;
  frozen = false;
  /** Whether its process was started and hasn't died; it serves once its disk is opened. */
  running = false;
  serving = false;
  history = '';
  sent = 0;
  readonly folder: Folder;
  private diskCount = 0;
  private process: NodeProcess | undefined;
  private readonly random: RandomSource = { next: half, uuid: this.nextDiskId.bind(this) };

  constructor(
    readonly name: string,
    private readonly parts: NodeParts,
  ) {
    this.folder = makeFolder(parts.syncedReads);
  }

  /** The disk that its process has opened. */
  disk(): string | undefined {
    return this.process?.store.diskId;
  }

  /** The store of its process, where it serves. */
  slots(): ControlStore | undefined {
    return this.process?.store;
  }

  start(): void {
    this.running = true;
    this.history = digest(`${this.name} ${this.life} ${this.diskCount} ${this.folder.digest()}`);
    void this.run(this.life);
  }

  /** Ends the process; `hurt` does to the folder what the fault does. */
  die(hurt: () => void): void {
    this.running = false;
    this.serving = false;
    this.frozen = false;
    this.life++;
    this.sent = 0;
    this.process = undefined;
    this.parts.network.broken(this);
    hurt();
  }

  async handle(type: string, body: unknown): Promise<Result<unknown>> {
    const { process } = this;
    if (!process) return never();
    switch (type) {
      case ORDER:
        return process.change(body as Operation);
      case READ:
        return process.read((body as { key: string }).key);
      case REPLACE:
        return process.replaceVoters();
      case BOOTSTRAP:
        return Right(await process.bootstrapStep());
      default:
        return process.handle(type, body);
    }
  }

  private async run(life: number): Promise<void> {
    const { hasVotes, mostLog } = this.parts;
    const ports = this.makePorts();
    const stored = hasVotes ? ((await readStoredVotes(ports)).extract() as StoredVotes) : undefined;
    const [error, store] = errorOrValue(await openControlStore(ports, mostLog, stored));
    if (error || life !== this.life) return;
    const process = this.makeProcess(store, ports);
    if (stored) await process.startVotes(stored);
    if (life !== this.life) return;
    this.process = process;
    this.serving = true;
  }

  private makeProcess(store: ControlStore, ports: Ports): NodeProcess {
    const { checker, founders, hasVotes = false, mutation, network } = this.parts;
    const peerAt = this.peerAt.bind(this);
    const shared = { checker, founders, hasVotes, mutation, network };
    return new NodeProcess({ ...shared, node: this, store, ports, peerAt });
  }

  private makePorts(): Ports {
    const { mutation } = this.parts;
    const disk = this.folder.port(this.scheduleSync.bind(this));
    return {
      clock: makeTimelessClock({ addTimer: this.addTimer.bind(this) }),
      random: this.random,
      disk: mutation.disk?.(disk) ?? disk,
      network: UNREACHABLE_NETWORK,
      logger: SILENT_LOGGER,
    };
  }

  private scheduleSync(label: string, run: () => void): void {
    const event = { class: 'progress', kind: 'sync', label: `${this.name} ${label}`, run } as const;
    this.parts.scheduler.add(this, event);
  }

  private addTimer(label: string, run: () => void): () => void {
    const event = { class: 'timer', kind: 'sleep', label: `${this.name} ${label}`, run } as const;
    return this.parts.scheduler.add(this, event);
  }

  private peerAt(address: string): ModelNode | undefined {
    function isNamed(node: ModelNode): boolean {
      return node.name === address;
    }
    return this.parts.nodes().find(isNamed);
  }

  private nextDiskId(): string {
    return `${this.name}-disk-${++this.diskCount}`;
  }
}

function half(): number {
  return 0.5;
}

function never(): Promise<never> {
  return new Promise(doNothing);
}

function doNothing(): void {
  // does nothing on purpose
}
