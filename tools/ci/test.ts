/**
 * Runs jest: all tests but those of crowds, and then these, one at a time, since each asks what a process bears. Where KNOWN-RED.txt lists cases that are known to fail, the tests among them alone may, and all are printed.
 */

import { spawnSync } from 'node:child_process';
import { existsSync, mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import {
  entryLine,
  JestReport,
  joinReports,
  judgeRun,
  KnownRed,
  knownTests,
  parseKnownRed,
} from './knownred';

const ROOT = resolve(__dirname, '../../..');
const LIST = join(ROOT, 'KNOWN-RED.txt');
/** Tests of crowds; nothing else runs beside one of them. */
const CROWDS = 'dist/test/crowds/';
/** The arguments of each run of jest. */
const RUNS = [
  ['--testPathIgnorePatterns', CROWDS],
  ['--runInBand', CROWDS],
];

function runJest(args: readonly string[]): number {
  const jest = require.resolve('jest/bin/jest');
  const run = spawnSync(process.execPath, [jest, ...args], { cwd: ROOT, stdio: 'inherit' });
  return run.status ?? 1;
}

/** Runs tests; their report, or nothing where jest wrote none. */
function runForReport(args: readonly string[]): JestReport | undefined {
  const folder = mkdtempSync(join(tmpdir(), 'plumhollow-jest-'));
  const file = join(folder, 'report.json');
  runJest([...args, '--json', `--outputFile=${file}`]);
  const report = existsSync(file)
    ? (JSON.parse(readFileSync(file, 'utf8')) as JestReport)
    : undefined;
  rmSync(folder, { recursive: true, force: true });
  return report;
}

/** Runs all tests and holds what fails against the list. */
function runWithList(known: readonly KnownRed[]): number {
  const reports = RUNS.map(runForReport).filter(isThere);
  if (reports.length < RUNS.length) return 1;
  const problems = judgeRun(joinReports(reports), knownTests(known));
  for (const listed of known) console.log(`known red: ${entryLine(listed)}`);
  for (const problem of problems) console.log(problem);
  return problems.length > 0 ? 1 : 0;
}

function main(args: readonly string[]): number {
  const text = existsSync(LIST) ? readFileSync(LIST, 'utf8') : '';
  const { known, problems } = parseKnownRed(text);
  for (const problem of problems) console.log(`KNOWN-RED.txt: ${problem}`);
  if (problems.length > 0) return 1;
  if (args.length > 0) return runJest(args);
  return known.length === 0 ? Math.max(...RUNS.map(runJest)) : runWithList(known);
}

function isThere(report: JestReport | undefined): report is JestReport {
  return report !== undefined;
}

if (require.main === module) process.exitCode = main(process.argv.slice(2));
