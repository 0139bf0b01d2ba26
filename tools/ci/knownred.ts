/**
 * Cases that are known to fail: reads their list, and judges a run of jest by the tests among them.
 */

const SEPARATOR = '|';

/** What stands in the place of a seed where the case draws nothing. */
const NO_SEED = 'none';

/** What all listed cases have. */
interface KnownCase {
  /** The command that shows the case, and the seed that it is to be given. */
  command: string;
  seed: string;
  /** What was seen. */
  seen: string;
  issue: string;
}

/** A listed test of this project. */
export interface KnownTest extends KnownCase {
  kind: 'test';
  /** The source file of the test, as `test/FOLDER/NAME.test.ts`. */
  file: string;
  name: string;
}

/** A listed day of the users' bench or of the simulator, which jest does not run. */
export interface KnownDay extends KnownCase {
  kind: 'day';
  name: string;
}

/** One listed case. */
export type KnownRed = KnownTest | KnownDay;

/** What a list holds, and what is wrong with it. */
export interface KnownList {
  known: KnownRed[];
  problems: string[];
}

/** What is read of jest's report. */
export interface JestReport {
  success: boolean;
  testResults: JestFile[];
}

/** What jest reports of one compiled test file. */
export interface JestFile {
  name: string;
  status: string;
  message?: string;
  assertionResults: JestTest[];
}

/** What jest reports of one test. */
export interface JestTest {
  fullName: string;
  status: string;
}

/**
 * Reads a list: one line a case, as `CASE | COMMAND | SEED | SEEN | ISSUE`; empty lines are passed over. A case is
 * `FILE: NAME` of a test, or `day: NAME`.
 */
export function parseKnownRed(text: string): KnownList {
  const list: KnownList = { known: [], problems: [] };
  const names = new Set<string>();
  for (const line of text.split('\n')) {
    if (line.trim() === '') continue;
    const known = parseLine(line);
    if (!known) {
      list.problems.push(`not of the form CASE | COMMAND | SEED | SEEN | ISSUE: ${line}`);
      continue;
    }
    if (names.has(describe(known))) list.problems.push(`is listed twice: ${describe(known)}`);
    names.add(describe(known));
    list.known.push(known);
  }
  return list;
}

function parseLine(line: string): KnownRed | undefined {
  const fields = line.split(SEPARATOR).map(trimmed);
  if (fields.length !== 5 || fields.includes('')) return undefined;
  const [name, command, seed, seen, issue] = fields;
  const known: KnownCase = { command, seed, seen, issue };
  if (!isSeed(seed) || !/^#?\d+$/.test(issue)) return undefined;
  const test = /^(test\/\S+\.test\.ts): (.+)$/.exec(name);
  if (test) return { kind: 'test', file: test[1], name: test[2], ...known };
  const day = /^day: (.+)$/.exec(name);
  return day && seed !== NO_SEED ? { kind: 'day', name: day[1], ...known } : undefined;
}

function isSeed(text: string): boolean {
  return text === NO_SEED || /^\d+$/.test(text);
}

function trimmed(text: string): string {
  return text.trim();
}

/** The listed tests, which a run of jest is judged by. */
export function knownTests(known: readonly KnownRed[]): KnownTest[] {
  return known.filter(isTest);
}

function isTest(known: KnownRed): known is KnownTest {
  return known.kind === 'test';
}

/** The report of several runs together. */
export function joinReports(reports: readonly JestReport[]): JestReport {
  return {
    success: reports.every(wasSuccessful),
    testResults: reports.flatMap(filesOf),
  };
}

function wasSuccessful({ success }: JestReport): boolean {
  return success;
}

function filesOf({ testResults }: JestReport): JestFile[] {
  return testResults;
}

/** What speaks against a run, given the listed tests; nothing where only these failed. */
export function judgeRun(report: JestReport, known: readonly KnownTest[]): string[] {
  const problems: string[] = [];
  const missing = new Set(known);
  let excused = 0;
  for (const file of report.testResults) {
    let failed = 0;
    for (const test of file.assertionResults) {
      const listed = findKnown(known, file, test);
      if (listed) missing.delete(listed);
      if (test.status === 'failed') failed++;
      if (test.status === 'failed' && listed) excused++;
      else if (test.status === 'failed')
        problems.push(`fails: ${sourceOf(file)}: ${test.fullName}`);
      else if (listed && test.status === 'passed')
        problems.push(`is listed but passes, take it off the list: ${describe(listed)}`);
      else if (listed) problems.push(`is listed but was not run: ${describe(listed)}`);
    }
    if (file.status === 'failed' && failed === 0)
      problems.push(`did not run: ${sourceOf(file)}: ${file.message ?? ''}`);
  }
  for (const listed of missing) problems.push(`is listed but not there: ${describe(listed)}`);
  if (!report.success && excused === 0 && problems.length === 0)
    problems.push('jest failed although no test did');
  return problems;
}

function findKnown(
  known: readonly KnownTest[],
  file: JestFile,
  test: JestTest,
): KnownTest | undefined {
  const source = sourceOf(file);
  for (const listed of known)
    if (listed.file === source && listed.name === test.fullName) return listed;
  return undefined;
}

/** The source of a compiled test file. */
function sourceOf(file: JestFile): string {
  return file.name.replace(/^.*\bdist\//, '').replace(/\.js$/, '.ts');
}

/** A listed case by its name. */
export function describe(known: KnownRed): string {
  return known.kind === 'test' ? `${known.file}: ${known.name}` : `day: ${known.name}`;
}

/** A listed case in one line, as it is printed with each run. */
export function entryLine(known: KnownRed): string {
  const { command, seed, seen, issue } = known;
  return [describe(known), command, seed, seen, issue].join(` ${SEPARATOR} `);
}
