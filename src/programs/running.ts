/** Something running that can drain and stop. */
export interface Running {
  drain: () => Promise<void>;
  stop: () => Promise<void>;
}
