/**
 * The committed values that are applied at a node, and the order in which they were.
 */

import { CONTROL_KEYS } from '../state/control-keys';
import { compareVersions, VersionedValue } from '../state/versions';
import { VoterSet } from '../state/voter-set';
import { makePushStream } from '../util/push-stream';
import { AppliedEntry, appliedEntries } from './change-message';
import { makeKeyJournal } from './key-journal';

/** The newest applied value of each control key. */
export class AppliedState {
  private readonly byKey = new Map<string, VersionedValue>();
  private readonly journal = makeKeyJournal();
  private readonly pushStream = makePushStream<VersionedValue>();
  /** The changes as they are applied. */
  readonly changes = this.pushStream.stream;

  /** `beforeNotify` is called with each applied change before the stream of changes has it. */
  constructor(private readonly beforeNotify: (change: VersionedValue) => void) {}

  /** Applies changes that are newer than what is applied; whether there was one. */
  apply(changes: readonly VersionedValue[]): boolean {
    let anyNewer = false;
    for (const change of changes) {
      const applied = this.byKey.get(change.key);
      if (applied && compareVersions(change, applied) <= 0) continue;
      this.byKey.set(change.key, change);
      this.journal.add(change.key);
      this.beforeNotify(change);
      anyNewer = true;
      this.pushStream.push(change);
    }
    return anyNewer;
  }

  /** The applied version of a key. */
  get(key: string): VersionedValue | undefined {
    return this.byKey.get(key);
  }

  /** The voter set, where it is applied. */
  voters(): VoterSet | undefined {
    return this.byKey.get(CONTROL_KEYS.voters)?.value as VoterSet | undefined;
  }

  /** All applied values. */
  values(): VersionedValue[] {
    return [...this.byKey.values()];
  }

  /** How many changes have been applied. */
  changeCount(): number {
    return this.journal.count();
  }

  /** The versions of all applied keys. */
  entries(): AppliedEntry[] {
    return appliedEntries(this.byKey.values());
  }

  /** The versions of the keys that were applied after a count of changes; undefined where the journal has forgotten it. */
  entriesAfter(changeCount: number): AppliedEntry[] | undefined {
    const keys = this.journal.after(changeCount);
    if (!keys) return undefined;
    const changes: VersionedValue[] = [];
    for (const key of keys) changes.push(this.byKey.get(key)!);
    return appliedEntries(changes);
  }
}
