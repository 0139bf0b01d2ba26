/** What is observed of tallies, evacuations and cold engines. Times are ms of the book's clock. */

/** How a call that adds to a tally ended: acknowledged, refused with the promise that nothing was done, or unclear. */
export type AddOutcome = 'open' | 'acked' | 'refused' | 'unclear';

/** One call that adds to a tally, at one control address. */
export interface AddCall {
  /** The IP number of the machine that was called. */
  node: string;
  /** The life of its process. */
  life: number;
  sentAt: number;
  outcome: AddOutcome;
  ackAt?: number;
}

/** An addition to a tally; it counts once, whatever calls it took. */
export interface TallyAdd {
  tally: string;
  instanceId: string;
  actor: number;
  calls: AddCall[];
}

/** One read of a tally, at one control address. */
export interface TallyRead {
  tally: string;
  node: string;
  life: number;
  sentAt: number;
  endedAt: number;
  total: number;
}

/** The read of a tally at the end of the day. */
export interface TallyEnd {
  tally: string;
  at: number;
  /** Nothing where it could not be read in time. */
  total?: number;
}

/** An evacuation that the operator asked for, or took back. */
export interface EvacuationSent {
  zone: string;
  kind: 'start' | 'finish';
  at: number;
  ackAt?: number;
}

/** A time for which an engine is cold. */
export interface ColdSpan {
  instance: string;
  from: number;
  until: number;
  /** The requests a second that it bears. */
  perS: number;
}

/** All that is observed of these. */
export interface ApartRecords {
  adds: Map<string, TallyAdd>;
  tallyReads: TallyRead[];
  tallyEnds: TallyEnd[];
  evacuations: EvacuationSent[];
  cold: ColdSpan[];
}

/** No records. */
export function makeApartRecords(): ApartRecords {
  return { adds: new Map(), tallyReads: [], tallyEnds: [], evacuations: [], cold: [] };
}
