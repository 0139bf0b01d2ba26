/**
 * Runs the tasks of each key one after another, and those of different keys side by side.
 */

/** A queue of tasks for each key; a task begins when the one before it for the same key has ended. */
export class KeyQueue {
  private readonly lastTasks = new Map<string, Promise<unknown>>();

  /** Runs a task after all that were queued for the key before. Tasks give errors as values: they don't reject. */
  run<T>(key: string, task: () => Promise<T>): Promise<T> {
    const previous = this.lastTasks.get(key) ?? Promise.resolve();
    const current = previous.then(task);
    this.lastTasks.set(key, current);
    return current;
  }
}
