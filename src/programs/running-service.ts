/**
 * What a daemon knows of the service that it runs.
 */

/** A service that runs. */
export interface RunningService {
  /** Ends what is in flight and hands over what others can take; resolves when the service may stop. */
  drain: () => Promise<void>;
  /** Closes all connections. */
  stop: () => Promise<void>;
}
