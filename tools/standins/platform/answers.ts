import { Run, Try } from './book';
import { Lookup } from './touch';

/** Adds a broken rule to the verdict. */
export type Say = (rule: string, text: string) => void;

const PROMISES = new Set([429, 503, 408, 421]);

/** Judges what clients were answered: MIXED, ORDER, REFUSED. */
export function judgeAnswers(l: Lookup, say: Say): void {
  for (const s of l.book.strays)
    say(
      'MIXED',
      `bytes where no request waited, from ${s.router}: ${JSON.stringify(s.bytes.slice(0, 60))}`,
    );
  for (const t of l.book.tries.values()) {
    const runs = l.runsById.get(t.id) ?? [];
    if (t.end === 'garbage' && !runs.some(broke)) say('MIXED', `${t.id}: bytes that are no answer`);
    if (t.status === undefined) continue;
    if (t.answerId !== undefined && t.answerId !== t.id)
      say('MIXED', `${t.id}: the answer of ${t.answerId}`);
    if (t.end === 'whole' && !t.repeatable && PROMISES.has(t.status) && runs.some(ran))
      say('REFUSED', `${t.id}: ${t.status}, and it ran`);
    if (t.status >= 200 && t.status < 300) success(l, t, say);
  }
}

function broke(r: Run): boolean {
  return r.broke;
}

/** Whether a run counts: it wasn't put out before its first token. */
export function ran(r: Run): boolean {
  return !r.undone;
}

function success(l: Lookup, t: Try, say: Say): void {
  if (t.encoding !== undefined && t.encoding !== 'identity')
    say('MIXED', `${t.id}: encoded as ${t.encoding}`);
  const run = t.seal === undefined ? undefined : l.runsBySeal.get(t.seal);
  if (!run) {
    if (t.end === 'whole' || t.seal !== undefined)
      say(
        'MIXED',
        `${t.id}: a success with ${t.seal === undefined ? 'no stamp' : `the unknown stamp ${t.seal}`}`,
      );
    return;
  }
  if (run.id !== t.id) say('MIXED', `${t.id}: the run of ${run.id}`);
  if (run.status >= 400)
    say('MIXED', `${t.id}: a success where the engine failed with ${run.status}`);
  if (run.total > 0) return stream(l, t, run, say);
  const text = run.pieces.length > 0 ? run.pieces[0].text : '';
  if (t.end === 'whole' ? t.answer !== text : !text.startsWith(t.answer))
    say('MIXED', `${t.id}: another body than the engine's`);
}

/** A stream has each piece once, in order, from one run, or from runs that go on where the last ended. */
function stream(l: Lookup, t: Try, first: Run, say: Say): void {
  let text = t.answer;
  let run = first;
  let next = (t.lastEvent ?? 0) + 1;
  while (text !== '') {
    const p = pieceOf(run, next);
    if (p !== undefined && text.startsWith(p)) {
      text = text.slice(p.length);
      next++;
      continue;
    }
    const other = t.repeatable ? goesOn(l, t, run, next, text) : undefined;
    if (other) {
      run = other;
      continue;
    }
    if (t.end !== 'whole' && startsSome(l, t, next, text)) return;
    return say(
      'ORDER',
      `${t.id}: event ${next} is missing, repeated or of another run: ${JSON.stringify(text.slice(0, 60))}`,
    );
  }
  if (t.end === 'whole' && next - 1 < run.total)
    say('ORDER', `${t.id}: closed as complete after ${next - 1} of ${run.total} events`);
}

function pieceOf(run: Run, id: number): string | undefined {
  for (const p of run.pieces) if (p.id === id) return p.text;
  return undefined;
}

function goesOn(l: Lookup, t: Try, from: Run, next: number, text: string): Run | undefined {
  for (const r of l.runsById.get(t.id) ?? []) {
    const p = pieceOf(r, next);
    if (r !== from && r.after === next - 1 && p !== undefined && text.startsWith(p)) return r;
  }
  return undefined;
}

function startsSome(l: Lookup, t: Try, next: number, text: string): boolean {
  for (const r of l.runsById.get(t.id) ?? []) if (pieceOf(r, next)?.startsWith(text)) return true;
  return false;
}
