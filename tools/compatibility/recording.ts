/**
 * Examples of the messages between our processes, with the bytes that they have on the wire.
 */

import { Packr } from 'msgpackr';
import { Message } from '../../src/shared/ports/network';
import { ThinLinks } from '../sim/thin-links';
import { addFieldPaths, fieldPaths } from './field-paths';

/** A message and its answer, as the bytes that were sent, in base64. */
export interface RecordedExchange {
  /** The scenario in which it was sent. */
  scenario: string;
  request: string;
  /** None where the message is told, stayed without an answer, or has an answer too long to be kept. */
  answer?: string;
  /** The code of an answer that is a fault. */
  fault?: string;
}

/** What is kept of all messages of a type. */
export interface RecordedType {
  type: string;
  /** Every field that some request of the type had: its path and type. */
  requestFields: string[];
  /** The same of the answers that are no faults. */
  answerFields: string[];
  /** The codes of faults that were answered. */
  faults: string[];
  exchanges: RecordedExchange[];
}

/** Messages that pass between simulated processes, as they are recorded. */
export interface Recorder {
  /** Names the scenario of what is sent from now on. */
  begin: (scenario: string) => void;
  /** Links that record each message and hold it no longer than the links behind them. */
  links: (behind?: ThinLinks) => ThinLinks;
  /** What was recorded, by type. */
  types: () => RecordedType[];
}

/** An exchange whose answer may still come. */
interface Candidate extends RecordedExchange {
  type: string;
  fields: string[];
  size: number;
}

/** All that is known of a type while it is recorded. */
interface Seen {
  requestFields: Set<string>;
  answerFields: Set<string>;
  faults: Set<string>;
  /** The shortest exchange of each combination of fields, in the first scenario that has it. */
  shortest: Map<string, Candidate>;
}

/** Longer messages are left out. */
const MOST_BYTES = 4096;
/** Examples of a type that are kept: answered without and with a fault. */
const MOST_EXAMPLES = 3;
const MOST_FAULTS = 2;

/** What stands for the code of a fault without one. */
const NO_CODE = 'none';

const packr = new Packr({ useRecords: false });

/** The bytes that a message has on the wire. */
function packMessage(message: Message): Uint8Array {
  return Uint8Array.from(packr.pack(message));
}

/** Reads a message from its bytes. */
export function unpackMessage(bytes: Uint8Array): Message {
  return packr.unpack(bytes) as Message;
}

function base64(bytes: Uint8Array): string {
  return Buffer.from(bytes).toString('base64');
}

/** Richer examples first; the order is the same in every run. */
function byFields(a: Candidate, b: Candidate): number {
  return b.fields.length - a.fields.length || (a.fields.join() < b.fields.join() ? -1 : 1);
}

function isFault(one: Candidate): boolean {
  return one.fault !== undefined;
}

function isNoFault(one: Candidate): boolean {
  return one.fault === undefined;
}

function plain({ scenario, request, answer, fault }: Candidate): RecordedExchange {
  return { scenario, request, answer, fault };
}

function recordedType([type, seen]: [string, Seen]): RecordedType {
  const all = [...seen.shortest.values()].sort(byFields);
  const answered = all.filter(isNoFault).slice(0, MOST_EXAMPLES);
  const faulty = all.filter(isFault).slice(0, MOST_FAULTS);
  return {
    type,
    requestFields: [...seen.requestFields].sort(),
    answerFields: [...seen.answerFields].sort(),
    faults: [...seen.faults].sort(),
    exchanges: [...answered, ...faulty].map(plain),
  };
}

/** Makes a recorder. */
export function makeRecorder(): Recorder {
  const seenTypes = new Map<string, Seen>();
  const waiting = new Map<string, Candidate>();
  let scenario = '';

  function seenOf(type: string): Seen {
    const fresh: Seen = {
      requestFields: new Set(),
      answerFields: new Set(),
      faults: new Set(),
      shortest: new Map(),
    };
    const seen = seenTypes.get(type) ?? fresh;
    seenTypes.set(type, seen);
    return seen;
  }

  function keep(one: Candidate): void {
    if (one.request === '') return;
    const { shortest } = seenOf(one.type);
    const key = one.fields.join('\n');
    const known = shortest.get(key);
    if (!known || (one.scenario === known.scenario && one.size < known.size))
      shortest.set(key, one);
  }

  function request(from: string, to: string, message: Message): void {
    const type = message.type!;
    const bytes = packMessage(message);
    const fields = fieldPaths(message.body);
    addFieldPaths(message.body, seenOf(type).requestFields);
    const isShort = bytes.length <= MOST_BYTES;
    const one: Candidate = {
      type,
      scenario,
      request: isShort ? base64(bytes) : '',
      fields,
      size: bytes.length,
    };
    if (message.id === undefined) keep(one);
    else expectAnswer(`${from} ${to} ${message.id}`, one);
  }

  /** Waits for an answer; what waited under the same number stays without one. */
  function expectAnswer(key: string, one: Candidate): void {
    const before = waiting.get(key);
    if (before) keep(before);
    waiting.set(key, one);
  }

  function answer(from: string, to: string, message: Message): void {
    const key = `${to} ${from} ${message.re}`;
    const one = waiting.get(key);
    if (!one) return;
    waiting.delete(key);
    const bytes = packMessage(message);
    const seen = seenOf(one.type);
    if (message.fault) {
      one.fault = (message.fault as { code?: string }).code ?? NO_CODE;
      seen.faults.add(one.fault);
      one.fields = [`fault ${one.fault}`];
    } else {
      addFieldPaths(message.body, seen.answerFields);
      one.fields = [...one.fields, ...fieldPaths(message.body).map(ofAnswer)];
    }
    if (bytes.length <= MOST_BYTES) {
      one.answer = base64(bytes);
      one.size += bytes.length;
    }
    keep(one);
  }

  function ofAnswer(path: string): string {
    return `answer ${path}`;
  }

  function record(from: string, to: string, message: Message): void {
    if (message.re === undefined) request(from, to, message);
    else answer(from, to, message);
  }

  function links(behind?: ThinLinks): ThinLinks {
    function delay(from: string, to: string, message: Message): number {
      record(from, to, message);
      return behind?.delay(from, to, message) ?? 0;
    }
    function received(ip: string): number {
      return behind?.received(ip) ?? 0;
    }
    return { delay, received };
  }

  function begin(name: string): void {
    for (const one of waiting.values()) keep(one);
    waiting.clear();
    scenario = name;
  }

  function types(): RecordedType[] {
    begin('');
    return [...seenTypes].map(recordedType);
  }

  return { begin, links, types };
}
