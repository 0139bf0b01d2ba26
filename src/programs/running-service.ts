/** Something running that can drain and stop. */
export interface RunningService {
  drain: () => Promise<void>;
  stop: () => Promise<void>;
}
