/**
 * The engines to which prompts of an affinity key were sent lately: they are presumed to have cached the shared prefix.
 */

/** Affinity keys that are remembered; the one that was used longest ago goes first. */
const MAX_KEYS = 4096;
/** Engines that are remembered of each. */
const MAX_ENGINES_PER_KEY = 4;

/** Remembers engines by affinity key, the last one first. */
export class RecentPlacements {
  private readonly engines = new Map<string, string[]>();

  /** Affinity keys that are remembered. */
  get keyCount(): number {
    return this.engines.size;
  }

  /** The engines of a key, the last one first. */
  enginesOf(affinityKey: string): readonly string[] {
    return this.engines.get(affinityKey) ?? [];
  }

  /** Remembers that a prompt was sent to an engine. */
  record(affinityKey: string, engine: string): void {
    function isOther(id: string): boolean {
      return id !== engine;
    }
    const others = this.enginesOf(affinityKey).filter(isOther);
    this.engines.delete(affinityKey);
    this.engines.set(affinityKey, [engine, ...others].slice(0, MAX_ENGINES_PER_KEY));
    if (this.engines.size > MAX_KEYS) this.engines.delete(this.engines.keys().next().value!);
  }
}
