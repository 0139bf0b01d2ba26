/** The file format of recorded histories: one JSON object on each line, one line for each call. */
import { Either, Left, Right } from 'purify-ts';
import { errorOrValue } from '../errors/errors';
import { parseJson } from '../util/try-catch';
import { isPlainObject } from '../util/plain-object';

/** What a caller asked for: a whole document, a named change of one, a name for weights, or the value that stands. */
export type CallKind = 'replace' | 'update' | 'name' | 'read';

/** What the caller heard; `unknown` is an open call, which may have taken effect, may still do so, or may never. */
export type CallAnswer = 'ok' | 'refused' | 'unknown';

/** Why a change was refused: another revision was current, or the change can't be applied to any. */
export type RefusalReason = 'conflict' | 'invalid';

/** One call of one client at one register, with the times in ms at which it began and ended. */
export interface HistoryCall {
  /** The register, such as `deployment` or `weights/MODEL`. */
  key: string;
  kind: CallKind;
  /** The client that called. */
  client: string;
  /** The same for all calls that sent the same change. */
  order: string;
  start: number;
  end: number;
  answer: CallAnswer;
  /** The revision that a `replace` or `update` builds on. */
  base: number;
  /** The revision that a change leads to, or that a read returned; 0 where nothing was there. */
  revision: number;
  /** A hash of the document that a change leads to, or that a read returned, where it is known. */
  hash?: string;
  /** Given with a refusal. */
  reason?: RefusalReason;
  /** The line in the file, from 1. */
  line: number;
}

/** What is wrong with one line of a file. */
export interface LineFault {
  line: number;
  why: string;
}

type Fields = Record<string, unknown>;

const KINDS: unknown[] = ['replace', 'update', 'name', 'read'];
const ANSWERS: unknown[] = ['ok', 'refused', 'unknown'];
const REASONS: unknown[] = ['conflict', 'invalid'];
const KNOWN_FIELDS = new Set([
  'key',
  'kind',
  'client',
  'order',
  'start',
  'end',
  'answer',
  'base',
  'revision',
  'hash',
  'reason',
]);

function isRevision(value: unknown): boolean {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

function isTime(value: unknown): boolean {
  return typeof value === 'number' && Number.isFinite(value);
}

function isText(value: unknown): boolean {
  return typeof value === 'string' && value.length > 0;
}

function isOptionalText(value: unknown): boolean {
  return value === undefined || isText(value);
}

/** True where a call builds on a revision. */
export function isCompareAndSet(call: Pick<HistoryCall, 'kind'>): boolean {
  return call.kind === 'replace' || call.kind === 'update';
}

function faultsOf(fields: Fields): string[] {
  const faults: string[] = [];
  function need(holds: boolean, why: string): void {
    if (!holds) faults.push(why);
  }
  for (const name of Object.keys(fields)) need(KNOWN_FIELDS.has(name), `there is no field ${name}`);
  need(isText(fields.key), 'key must be a text');
  need(KINDS.includes(fields.kind), `kind must be one of ${KINDS.join(', ')}`);
  need(ANSWERS.includes(fields.answer), `answer must be one of ${ANSWERS.join(', ')}`);
  need(isOptionalText(fields.client), 'client must be a text');
  need(isOptionalText(fields.order), 'order must be a text');
  need(isOptionalText(fields.hash), 'hash must be a text');
  need(
    fields.reason === undefined || REASONS.includes(fields.reason),
    `reason must be one of ${REASONS.join(', ')}`,
  );
  need(isTime(fields.start), 'start must be a time in ms');
  if (fields.end !== undefined) {
    need(isTime(fields.end), 'end must be a time in ms');
    need((fields.end as number) >= (fields.start as number), 'end is before start');
  } else need(fields.answer === 'unknown', 'end may be left out of unknown calls only');
  if (isCompareAndSet(fields as unknown as HistoryCall))
    need(isRevision(fields.base), 'base must be a whole number');
  if (fields.kind !== 'read' || fields.answer === 'ok')
    need(isRevision(fields.revision), 'revision must be a whole number');
  return faults;
}

function callOf(fields: Fields, line: number): HistoryCall {
  const given = fields as unknown as HistoryCall;
  return {
    ...given,
    client: given.client ?? 'operator',
    order: given.order ?? `line ${line}`,
    end: given.end ?? Infinity,
    base: given.base ?? 0,
    revision: given.revision ?? 0,
    line,
  };
}

/** What all calls of one order must have in common. */
function contentOf(call: HistoryCall): string {
  return JSON.stringify([call.key, call.kind, call.base, call.revision]);
}

function parseLine(text: string, line: number): Either<LineFault[], HistoryCall> {
  const [fault, fields] = errorOrValue(parseJson(text, 'read history', `line ${line}`));
  if (fault) return Left([{ line, why: fault.reason }]);
  if (!isPlainObject(fields)) return Left([{ line, why: 'a call must be a JSON object' }]);
  const faults = faultsOf(fields);
  function atLine(why: string): LineFault {
    return { line, why };
  }
  return faults.length > 0 ? Left(faults.map(atLine)) : Right(callOf(fields, line));
}

/** Reads a history; all faults are told, each with its line. */
export function parseHistory(text: string): Either<LineFault[], HistoryCall[]> {
  const calls: HistoryCall[] = [];
  const faults: LineFault[] = [];
  const contents = new Map<string, { content: string; line: number }>();

  function keep(call: HistoryCall): void {
    calls.push(call);
    if (call.kind === 'read') return;
    const content = contentOf(call);
    const first = contents.get(call.order);
    if (!first) contents.set(call.order, { content, line: call.line });
    else if (first.content !== content)
      faults.push({
        line: call.line,
        why: `order ${call.order} was another change on line ${first.line}`,
      });
  }

  for (const [index, lineText] of text.split('\n').entries()) {
    if (lineText.trim() === '') continue;
    const parsed = parseLine(lineText, index + 1);
    if (parsed.isLeft()) faults.push(...parsed.extract());
    else keep(parsed.extract() as HistoryCall);
  }
  return faults.length > 0 ? Left(faults) : Right(calls);
}

/** Writes a history in the format that `parseHistory` reads. */
export function formatHistory(calls: HistoryCall[]): string {
  function lineOf(call: HistoryCall): string {
    const hasEnded = Number.isFinite(call.end);
    return JSON.stringify({ ...call, line: undefined, end: hasEnded ? call.end : undefined });
  }
  return calls.map(lineOf).join('\n') + (calls.length > 0 ? '\n' : '');
}
