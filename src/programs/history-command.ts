/** The command `plumhollow history check`. */
import { readFileSync } from 'node:fs';
import { Command } from 'commander';
import { errorOrValue, describeError } from '../shared/errors/errors';
import { HistoryCall, LineFault, parseHistory } from '../shared/history/calls';
import { checkHistory, sayVerdict } from '../shared/history/verdict';
import { tryCatch } from '../shared/util/try-catch';

const FINE = 0;
const FINDINGS = 1;
const BAD_USE = 2;

/** How the program prints and fails. */
export interface Printer {
  say: (value: unknown, text: string) => void;
  fail: (code: number, text: string) => never;
}

/** Adds the commands that judge recorded histories. */
export function addHistoryCommands(program: Command, printer: Printer): void {
  function check(file: string): void {
    const [fault, text] = errorOrValue(tryCatch('read file', file, read));
    function read(): string {
      return readFileSync(file, 'utf8');
    }
    if (fault) return printer.fail(BAD_USE, describeError(fault));
    const parsed = parseHistory(text);
    if (parsed.isLeft()) return sayFaults(parsed.extract());
    const calls = parsed.extract() as HistoryCall[];
    const verdict = checkHistory(calls);
    printer.say(verdict, sayVerdict(verdict, calls));
    process.exit(verdict.findings.length > 0 ? FINDINGS : FINE);
  }

  function sayFaults(faults: LineFault[]): never {
    function lineOf(fault: LineFault): string {
      return `line ${fault.line}: ${fault.why}`;
    }
    printer.say({ faults }, faults.map(lineOf).join('\n'));
    return process.exit(BAD_USE);
  }

  program
    .command('history')
    .description("recorded histories of operators' calls")
    .command('check <file>')
    .description('judge whether a history is linearizable')
    .action(check);
}
