/** The invariants, each a named checker over what the modelled processes answer, hold and tell. */
import { compareVersions, VersionedValue, Version } from '../../src/shared/state/versions';
import { CONTROL_KEYS } from '../../src/shared/state/control-keys';
import { isQuorum, VoterSet } from '../../src/shared/state/voter-set';

/** The invariants by name. */
export const INVARIANTS = {
  'one-value': 'one value for each key, epoch, owner and number',
  'acknowledged-kept': 'a read that begins after an acknowledgement or a read is not older',
  'one-per-base': 'no two orders on one base revision are acknowledged',
  'refused-stays-out': 'an order that was refused as such never comes into force',
  'class-refused-stays-out': 'an order that was only ever answered in class refused never does',
  'taken-stays-taken': 'an order that was acknowledged is never refused when it is sent again',
  'majority-holds': 'no quorum of the living disks is without something acknowledged',
  'disk-stays': 'a disk that was never wiped stays the voter that it was',
  'owner-not-behind': 'an owner never leads by less than what was acknowledged',
  'one-run': 'no two runs acquire one idempotency key, unless the first gave it back',
  'one-bootstrap': 'no two voter sets are committed as the first',
  'bootstrap-kept': 'a disk keeps the bootstrap that it has confirmed, and confirms no other',
  'promises-rise': 'the epochs that a disk promises rise, over crashes and power losses too',
} as const;

/** The name of an invariant. */
export type InvariantName = keyof typeof INVARIANTS;

/** The invariants that speak of refusals. */
export type RefusalInvariant = 'refused-stays-out' | 'class-refused-stays-out';

/** What a world is there to bring about, so that a schedule that never does so tells little. */
export type Milestone =
  | 'acknowledged'
  | 'read'
  | 'voters replaced'
  | 'key acquired'
  | 'difference accepted'
  | 'bootstrapped';

/** A broken invariant. */
export interface Violation {
  invariant: InvariantName;
  text: string;
}

/** An operator's order, as the checkers know it; versions of a key rise. */
export interface Order {
  key: string;
  version: number;
  /** The revision that it builds on; absent where its kind names none. */
  base?: number;
}

/** Something that must not turn out older than what was known as it began. */
export interface Begun {
  key: string;
  atLeast: number;
}

/** What a disk keeps of one key. */
export interface HeldCell {
  promised: { epoch: number; by: string };
  accepted?: VersionedValue;
  learned?: VersionedValue;
}

/** What one disk would keep if its machine lost power now. */
export interface DurableDisk {
  disk: string;
  cells: Map<string, HeldCell>;
  /** The voter set of the bootstrap that it has recorded. */
  bootstrap?: unknown;
  /** The voter's disk that was never wiped, and so must be this one. */
  expected?: string;
}

/** The version of a value: a deployment's revision, or the rank of named weights. */
export function versionOf(n: VersionedValue | undefined): number {
  const value = n?.value as { revision?: number; rank?: number } | undefined;
  return value?.revision ?? value?.rank ?? 0;
}

function placeText(n: Version): string {
  return `${n.epoch}.${n.by}.${n.number}`;
}

function orderText(o: Order): string {
  return `${o.key} version ${o.version}`;
}

function newestOf(cell: HeldCell | undefined): VersionedValue | undefined {
  if (!cell?.accepted || !cell.learned) return cell?.accepted ?? cell?.learned;
  return compareVersions(cell.learned, cell.accepted) > 0 ? cell.learned : cell.accepted;
}

/** Whether a committed value is a voter set that has taken the place of a joint one. */
function isReplacement({ key, number, value }: VersionedValue): boolean {
  return key === CONTROL_KEYS.voters && number > 1 && (value as VoterSet).next === undefined;
}

/** Watches one run, and holds what it sees against the invariants. */
export class Checker {
  readonly violations: Violation[] = [];
  /** How often each invariant was checked. */
  readonly checks = new Map<InvariantName, number>();
  /** What the run has brought about so far. */
  readonly reached = new Set<Milestone>();
  private readonly values = new Map<string, string>();
  private readonly inForce = new Set<string>();
  private readonly refusals = new Map<string, { why: string; as: RefusalInvariant }>();
  private readonly acknowledgements = new Map<string, Order>();
  private readonly promises = new Map<string, { epoch: number; by: string }>();
  private readonly newestAcknowledged = new Map<string, number>();
  private readonly newestRead = new Map<string, number>();
  private readonly open = new Set<string>();
  /** The run that has acquired each idempotency key and has not given it back. */
  private readonly runs = new Map<string, string>();
  /** The voter set of the bootstrap that each disk has confirmed, as text. */
  private readonly confirmedBootstraps = new Map<string, string>();
  private firstVoters: string | undefined;

  private check(invariant: InvariantName, holds: boolean, text: () => string): void {
    this.checks.set(invariant, (this.checks.get(invariant) ?? 0) + 1);
    if (!holds) this.violations.push({ invariant, text: text() });
  }

  /** Takes note of a value at its place, wherever it was seen. */
  seen(n: VersionedValue): void {
    const at = `${n.key} ${placeText(n)}`;
    const value = JSON.stringify(n.value);
    const before = this.values.get(at);
    function text(): string {
      return `${at} has two values: ${before} and ${value}`;
    }
    if (before !== undefined) this.check('one-value', before === value, text);
    else this.values.set(at, value);
  }

  promised(disk: string, key: string, epoch: number, by: string): void {
    const at = `${disk} ${key}`;
    const before = this.promises.get(at);
    function text(): string {
      return `${disk} promised ${key} in epoch ${epoch} to ${by}, after epoch ${before!.epoch} to ${before!.by}`;
    }
    this.check('promises-rise', before === undefined || epoch > before.epoch, text);
    this.promises.set(at, { epoch, by });
  }

  accepted(disk: string, change: VersionedValue): void {
    const at = `${disk} ${change.key}`;
    const before = this.promises.get(at)?.epoch ?? 0;
    function text(): string {
      return `${disk} accepted ${change.key} in epoch ${change.epoch} after it had promised ${before}`;
    }
    this.check('promises-rise', change.epoch >= before, text);
    this.promises.set(at, { epoch: change.epoch, by: change.by });
    this.seen(change);
  }

  /** A disk accepted a change that was sent as a difference. */
  acceptedDelta(): void {
    this.reached.add('difference accepted');
  }

  learned(change: VersionedValue): void {
    this.seen(change);
    if (isReplacement(change)) this.reached.add('voters replaced');
    if (change.key === CONTROL_KEYS.voters && change.number === 1)
      this.committedFirst(change.value);
    const order = orderText({ key: change.key, version: versionOf(change) });
    this.inForce.add(order);
    const refusal = this.refusals.get(order);
    function text(): string {
      return `${order} came into force though it was refused: ${refusal!.why}`;
    }
    if (refusal) this.check(refusal.as, false, text);
  }

  private committedFirst(value: unknown): void {
    this.reached.add('bootstrapped');
    const voters = JSON.stringify(value);
    const before = this.firstVoters;
    function text(): string {
      return `${voters} is committed as the first voter set, and so is ${before}`;
    }
    this.check('one-bootstrap', before === undefined || before === voters, text);
    this.firstVoters = voters;
  }

  /** A disk confirms that it has recorded the voter set of a bootstrap. */
  confirmedBootstrap(disk: string, voters: VoterSet): void {
    const confirmed = JSON.stringify(voters);
    const before = this.confirmedBootstraps.get(disk);
    function text(): string {
      return `${disk} confirmed the bootstrap ${confirmed} after ${before}`;
    }
    this.check('bootstrap-kept', before === undefined || before === confirmed, text);
    this.confirmedBootstraps.set(disk, confirmed);
  }

  private checkBootstrap(disk: string, bootstrap: unknown): void {
    const confirmed = this.confirmedBootstraps.get(disk);
    if (confirmed === undefined) return;
    const kept = JSON.stringify(bootstrap);
    function text(): string {
      return `${disk} confirmed the bootstrap ${confirmed}, and keeps ${kept}`;
    }
    this.check('bootstrap-kept', kept === confirmed, text);
  }

  begin(what: string, key: string): Begun {
    const begun = {
      key,
      atLeast: Math.max(
        this.newestAcknowledged.get(key) ?? 0,
        what === 'read' ? (this.newestRead.get(key) ?? 0) : 0,
      ),
    };
    this.open.add(`${what} ${key} ${begun.atLeast}`);
    return begun;
  }

  read(begun: Begun, found: VersionedValue | undefined): void {
    const version = versionOf(found);
    this.reached.add('read');
    function text(): string {
      return `a read of ${begun.key} found version ${version}, older than ${begun.atLeast}`;
    }
    this.check('acknowledged-kept', version >= begun.atLeast, text);
    this.newestRead.set(begun.key, Math.max(version, this.newestRead.get(begun.key) ?? 0));
  }

  /** An owner leads by `current`; where `made` is the very value that was acknowledged, found standing, it leads by that one. */
  led(begun: Begun, current: VersionedValue | undefined, made?: VersionedValue): void {
    const version = versionOf(current);
    const found = made !== undefined && versionOf(made) === begun.atLeast;
    function text(): string {
      return `an owner leads ${begun.key} by version ${version}, though ${begun.atLeast} had been acknowledged`;
    }
    this.check('owner-not-behind', found || version >= begun.atLeast, text);
  }

  acknowledged(order: Order): void {
    for (const other of this.acknowledgements.values()) {
      if (order.base === undefined || other.key !== order.key || other.version === order.version)
        continue;
      function text(): string {
        return `${orderText(order)} and ${orderText(other)} are both acknowledged on base ${order.base}`;
      }
      this.check('one-per-base', other.base !== order.base, text);
    }
    this.acknowledgements.set(orderText(order), order);
    this.reached.add('acknowledged');
    const newest = Math.max(order.version, this.newestAcknowledged.get(order.key) ?? 0);
    this.newestAcknowledged.set(order.key, newest);
  }

  /** An order was refused: as such, or by answers of class refused alone. */
  refused(order: Order, why: string, as: RefusalInvariant): void {
    this.refusals.set(orderText(order), { why, as });
    function text(): string {
      return `${orderText(order)} is refused though it came into force: ${why}`;
    }
    this.check(as, !this.inForce.has(orderText(order)), text);
  }

  /** What became of an order that was acknowledged before it was sent again: why it was refused, if it was. */
  answeredAgain(order: Order, refusedWhy?: string): void {
    function text(): string {
      return `${orderText(order)} was acknowledged, and is refused when it is sent again: ${refusedWhy}`;
    }
    this.check('taken-stays-taken', refusedWhy === undefined, text);
  }

  /** A run has the votes of a majority for an idempotency key. */
  acquired(key: string, run: string): void {
    this.reached.add('key acquired');
    const other = this.runs.get(key);
    function text(): string {
      return `${run} acquired ${key}, which ${other} had acquired`;
    }
    this.check('one-run', other === undefined || other === run, text);
    this.runs.set(key, run);
  }

  /** A run gives an idempotency key back, as it never ran. */
  released(key: string, run: string): void {
    if (this.runs.get(key) === run) this.runs.delete(key);
  }

  /** Checks what all living disks keep. */
  durable(disks: DurableDisk[], voters: VoterSet): void {
    for (const [key, version] of this.newestAcknowledged) {
      const without = new Set<string>();
      for (const { disk, cells } of disks)
        if (versionOf(newestOf(cells.get(key))) < version) without.add(disk);
      function text(): string {
        return `a quorum of living disks (${[...without].join(', ')}) is without ${key} version ${version}`;
      }
      this.check('majority-holds', !isQuorum(voters, without), text);
    }
    for (const { disk, cells, expected, bootstrap } of disks) {
      this.checkBootstrap(disk, bootstrap);
      function text(): string {
        return `disk ${expected} counts as ${disk}, though it was never wiped`;
      }
      this.check('disk-stays', expected === undefined || disk === expected, text);
      for (const [key, cell] of cells) {
        const before = this.promises.get(`${disk} ${key}`);
        function text(): string {
          return `${disk} keeps promise ${cell.promised.epoch} of ${key}, but had answered ${before!.epoch}`;
        }
        if (before) this.check('promises-rise', cell.promised.epoch >= before.epoch, text);
      }
    }
  }

  isAcknowledged(order: Order): boolean {
    return this.acknowledgements.has(orderText(order));
  }

  digest(): string {
    return JSON.stringify([
      [...this.values.keys()].sort(),
      [...this.inForce].sort(),
      [...this.refusals.keys()].sort(),
      [...this.acknowledgements.keys()].sort(),
      [...this.promises].sort(),
      [...this.newestRead].sort(),
      [...this.open].sort(),
      [...this.runs].sort(),
      [...this.confirmedBootstraps].sort(),
      this.firstVoters,
    ]);
  }
}
