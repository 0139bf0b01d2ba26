/**
 * Since when weights of models have been older ones.
 */

function keyOf(model: string, weights: string): string {
  return `${model} ${weights}`;
}

/** Keeps since when the older weights of each model's naming have been older ones, in ms of the clock. */
export class OutdatedWeights {
  private readonly since = new Map<string, number>();

  /** Takes the older weights of a model's newest naming, new ones as older since `heardAt`, and forgets all others of the model. */
  record(model: string, older: readonly string[], heardAt: number): void {
    for (const weights of older) {
      const key = keyOf(model, weights);
      if (!this.since.has(key)) this.since.set(key, heardAt);
    }
    const prefix = keyOf(model, '');
    for (const key of this.since.keys())
      if (key.startsWith(prefix) && !older.includes(key.slice(prefix.length)))
        this.since.delete(key);
  }

  /** Since when weights of a model have been older ones; undefined where they are not. */
  sinceOf(model: string, weights: string): number | undefined {
    return this.since.get(keyOf(model, weights));
  }
}
