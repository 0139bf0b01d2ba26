/**
 * The command `plumhollow history check`.
 */

import { Command } from 'commander';
import { describeError, errorOrValue } from '../../shared/errors/errors';
import { HistoryCall, LineFault, parseHistory } from '../../shared/history/calls';
import { checkHistory, sayVerdict } from '../../shared/history/verdict';
import { readTextFile } from '../../shared/util/text-file';
import { Console } from './console';
import { EXIT_FINDINGS, EXIT_OK, EXIT_USAGE } from '../exit-codes';

/** Adds the commands that judge recorded histories. */
export function addHistoryCommands(program: Command, console: Console): void {
  function printUnreadable(lines: LineFault[]): never {
    function lineOf(fault: LineFault): string {
      return `line ${fault.line}: ${fault.why}`;
    }
    console.print({ faults: lines }, lines.map(lineOf).join('\n'));
    return process.exit(EXIT_USAGE);
  }

  function check(file: string): void {
    const [unreadable, text] = errorOrValue(readTextFile('read file', file));
    if (unreadable) return console.fail(EXIT_USAGE, describeError(unreadable));
    const parsed = parseHistory(text);
    if (parsed.isLeft()) return printUnreadable(parsed.extract());
    const calls = parsed.extract() as HistoryCall[];
    const verdict = checkHistory(calls);
    console.print(verdict, sayVerdict(verdict, calls));
    process.exit(verdict.findings.length > 0 ? EXIT_FINDINGS : EXIT_OK);
  }

  program
    .command('history')
    .description("recorded histories of operators' calls")
    .command('check <file>')
    .description('judge whether a history is linearizable')
    .action(check);
}
