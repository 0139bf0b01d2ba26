/** Stands among the older weights of a naming for all from before the first one. */
export const ANY_OLDER = '*';

/** The committed value of a model's named weights; `ANY_OLDER` may stand among the older ones. */
export interface NamedWeights {
  model: string;
  weights: string;
  older: string[];
  /** Where names rise: a lower rank never follows a higher one. */
  rank?: number;
}

const WHOLE = /^\d+$/;

/** Orders weights of one model: whole numbers by size, others by the order in which they were named; what was never named comes first. */
export function compareWeights(a: string, b: string, named?: NamedWeights): number {
  if (a === b) return 0;
  if (WHOLE.test(a) && WHOLE.test(b)) return Number(a) - Number(b);
  const order = named ? [...named.older, named.weights] : [];
  return order.indexOf(a) - order.indexOf(b);
}

/** Whether an engine that runs with `has` lacks the named weights; newer ones than this node has heard of are no lack. */
export function lacks(has: string, named: NamedWeights): boolean {
  return compareWeights(has, named.weights, named) < 0;
}
