/** The command `plumhollow history check`. */
import { readFileSync } from 'node:fs';
import { Command } from 'commander';
import { errorOrValue, describeError } from '../shared/errors/errors';
import { HistoryCall, LineFault, parseHistory } from '../shared/history/calls';
import { checkHistory, sayVerdict } from '../shared/history/verdict';
import { tryCatch } from '../shared/util/try-catch';

const EXIT_OK = 0;
const EXIT_FINDINGS = 1;
const EXIT_USAGE = 2;

/** How the program prints and fails. */
export interface Printer {
  print: (value: unknown, text: string) => void;
  fail: (code: number, text: string) => never;
}

/** Adds the commands that judge recorded histories. */
export function addHistoryCommands(program: Command, printer: Printer): void {
  function check(file: string): void {
    const [fault, text] = errorOrValue(tryCatch('read file', file, read));
    function read(): string {
      return readFileSync(file, 'utf8');
    }
    if (fault) return printer.fail(EXIT_USAGE, describeError(fault));
    const parsed = parseHistory(text);
    if (parsed.isLeft()) return sayFaults(parsed.extract());
    const calls = parsed.extract() as HistoryCall[];
    const verdict = checkHistory(calls);
    printer.print(verdict, sayVerdict(verdict, calls));
    process.exit(verdict.findings.length > 0 ? EXIT_FINDINGS : EXIT_OK);
  }

  function sayFaults(faults: LineFault[]): never {
    function lineOf(fault: LineFault): string {
      return `line ${fault.line}: ${fault.why}`;
    }
    printer.print({ faults }, faults.map(lineOf).join('\n'));
    return process.exit(EXIT_USAGE);
  }

  program
    .command('history')
    .description("recorded histories of operators' calls")
    .command('check <file>')
    .description('judge whether a history is linearizable')
    .action(check);
}
