/**
 * How a controller's answer to a change is printed.
 */

import { IntentViolation } from '../../control/configuration/intents-validation';
import { Console } from './console';
import { HttpReply } from './controller-client';
import { EXIT_FINDINGS, EXIT_OK } from '../exit-codes';

/** The body of an answer to a change; an API key is told once, when it is made. */
interface ChangeReplyBody {
  change?: string;
  inEffect?: boolean;
  error?: { code: string; message: string };
  revision?: number;
  key?: string;
  id?: string;
  faults?: IntentViolation[];
}

const OK = 200;
const ACCEPTED = 202;
const CONFLICT = 409;

/** Prints what is wrong with an intents file. */
export function printViolations(console: Console, violations: IntentViolation[]): void {
  function lineOf(violation: IntentViolation): string {
    return `${violation.path || '(file)'}: ${violation.why}`;
  }
  console.print({ faults: violations }, violations.map(lineOf).join('\n'));
}

function printAccepted(console: Console, body: ChangeReplyBody): void {
  const key = body.key ? `\nkey ${body.key}\nid ${body.id}` : '';
  const progress = body.inEffect ? 'in effect' : 'taken, not yet in effect everywhere';
  console.print(body, `${progress}: ${body.change}${key}`);
}

function printRefused(console: Console, status: number, body: ChangeReplyBody): void {
  const current = status === CONFLICT ? ` (revision ${body.revision} stands)` : '';
  console.print(body, `${body.error?.code}: ${body.error?.message}${current}`);
}

/** Prints the answer to a change and ends the program. */
export function printChangeAndExit(console: Console, reply: HttpReply): never {
  const body = reply.body as ChangeReplyBody;
  if (reply.status === OK || reply.status === ACCEPTED) {
    printAccepted(console, body);
    return process.exit(EXIT_OK);
  }
  if (body.faults) printViolations(console, body.faults);
  else printRefused(console, reply.status, body);
  return process.exit(EXIT_FINDINGS);
}
