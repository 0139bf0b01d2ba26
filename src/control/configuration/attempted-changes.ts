/**
 * Which operators' changes were attempted at this node lately. A change that came twice is worked on twice; what one
 * attempt knows to be without effect, the other may have brought about.
 */

import { errorOrValue, Result } from '../../shared/errors/errors';
import { shortHash } from '../../shared/util/hashing';
import { withDoubt } from './change-doubt';
import { operationIdentity } from './deployment-change';
import { Operation } from './operations';

/** How many ended attempts with a possible effect are remembered. */
const MAX_REMEMBERED = 1024;

/** What identifies an operator's change, however often it comes; changes of background tasks have no identity. */
function identityOf(operation: Operation): string | undefined {
  switch (operation.kind) {
    case 'deployment':
      return operationIdentity(operation);
    case 'engines':
    case 'duty':
    case 'voters':
      return undefined;
    default:
      return shortHash(JSON.stringify(operation));
  }
}

/** Whether an attempt may have had an effect: it succeeded, or its outcome is unknown. */
function mayHaveTakenEffect<T>(result: Result<T>): boolean {
  const [error] = errorOrValue(result as Result<object>);
  return error?.certainty !== 'refused';
}

/** The attempts at operators' changes: those in progress, and the latest ones that may have had an effect. */
export class AttemptedChanges {
  private readonly inProgress = new Map<string, number>();
  /** The identities of ended attempts, the oldest first. */
  private readonly mayBeInEffect = new Set<string>();

  /** Attempts a change. A refusal that is only about this node is told as of unknown effect where another attempt at the same change may have had one. */
  async run<T>(operation: Operation, attempt: () => Promise<Result<T>>): Promise<Result<T>> {
    const identity = identityOf(operation);
    if (identity === undefined) return attempt();
    this.count(identity, 1);
    const result = await attempt();
    this.count(identity, -1);
    if (mayHaveTakenEffect(result)) {
      this.remember(identity);
      return result;
    }
    return this.isInDoubt(identity) ? withDoubt(result) : result;
  }

  private isInDoubt(identity: string): boolean {
    return this.inProgress.has(identity) || this.mayBeInEffect.has(identity);
  }

  private count(identity: string, change: number): void {
    const count = (this.inProgress.get(identity) ?? 0) + change;
    if (count > 0) this.inProgress.set(identity, count);
    else this.inProgress.delete(identity);
  }

  private remember(identity: string): void {
    this.mayBeInEffect.delete(identity);
    this.mayBeInEffect.add(identity);
    if (this.mayBeInEffect.size <= MAX_REMEMBERED) return;
    const [oldest] = this.mayBeInEffect;
    this.mayBeInEffect.delete(oldest);
  }
}
