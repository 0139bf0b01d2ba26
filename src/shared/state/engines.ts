/**
 * Engines as the platform lists them; the committed value of the control key `engines`.
 */

/** One engine as the platform lists it. */
export interface Engine {
  id: string;
  at: string;
  zone: string;
  model: string;
  weights: string;
  leaving: boolean;
  /** The pool it serves in, its batch, and how much longer it is slow from its start, in ms; where the platform tells them. */
  pool?: string;
  batch?: number;
  warmMs?: number;
  /** All its models with their weights; `model` and `weights` are the first. */
  models?: { name: string; weights: string }[];
}
