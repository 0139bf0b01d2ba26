/**
 * The votes that a disk has given, in two generations, of which the older one is forgotten as the next one begins.
 */

import { Vote } from './vote-files';

/** Votes by idempotency key. A vote that is set anew belongs to the newest generation. */
export class VoteTable {
  private current = new Map<string, Vote>();
  private previous = new Map<string, Vote>();

  /** The vote for a key; undefined where none was given, or it was forgotten. */
  get(key: string): Vote | undefined {
    return this.current.get(key) ?? this.previous.get(key);
  }

  /** Sets the vote for its key. */
  set(vote: Vote): void {
    this.current.set(vote.key, vote);
  }

  /** Drops the vote for a key. */
  delete(key: string): void {
    this.current.delete(key);
    this.previous.delete(key);
  }

  /** Begins the next generation, and forgets the one before the last. */
  beginGeneration(): void {
    this.previous = this.current;
    this.current = new Map();
  }

  /** All votes, each key once. */
  all(): Vote[] {
    return [...new Map([...this.previous, ...this.current]).values()];
  }

  /**
   * The votes whose keys begin with a prefix, oldest generation first; a vote that changed since may come twice, the newer
   * one later.
   */
  withPrefix(prefix: string): Vote[] {
    const votes: Vote[] = [];
    for (const generation of [this.previous, this.current])
      for (const vote of generation.values()) if (vote.key.startsWith(prefix)) votes.push(vote);
    return votes;
  }
}
