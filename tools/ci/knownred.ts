/**
 * Tests that are known to fail: reads their list and judges a run of jest by it.
 */

/** The most tests that may be listed at once. */
export const MOST_KNOWN = 3;

const SEPARATOR = '|';

/** One listed test. */
export interface KnownRed {
  /** The source file of the test, as `test/NAME.test.ts`. */
  file: string;
  name: string;
  cause: string;
  issue: string;
}

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

/** Reads a list: one line a test, as `FILE: NAME | CAUSE | ISSUE`; empty lines are passed over. */
export function parseKnownRed(text: string): KnownList {
  const list: KnownList = { known: [], problems: [] };
  for (const line of text.split('\n')) {
    if (line.trim() === '') continue;
    const known = parseLine(line);
    if (known) list.known.push(known);
    else list.problems.push(`not of the form FILE: NAME | CAUSE | ISSUE: ${line}`);
  }
  if (list.known.length > MOST_KNOWN)
    list.problems.push(`${list.known.length} tests are listed, ${MOST_KNOWN} may be`);
  return list;
}

function parseLine(line: string): KnownRed | undefined {
  const fields = line.split(SEPARATOR).map(trimmed);
  const test = /^(test\/\S+\.test\.ts): (.+)$/.exec(fields[0]);
  if (!test || fields.length !== 3 || fields.includes('')) return undefined;
  return { file: test[1], name: test[2], cause: fields[1], issue: fields[2] };
}

function trimmed(text: string): string {
  return text.trim();
}

/** What speaks against a run, given the listed tests; nothing where only these failed. */
export function judgeRun(report: JestReport, known: readonly KnownRed[]): string[] {
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
  known: readonly KnownRed[],
  file: JestFile,
  test: JestTest,
): KnownRed | undefined {
  const source = sourceOf(file);
  for (const listed of known)
    if (listed.file === source && listed.name === test.fullName) return listed;
  return undefined;
}

/** The source of a compiled test file. */
function sourceOf(file: JestFile): string {
  return file.name.replace(/^.*\bdist\//, '').replace(/\.js$/, '.ts');
}

/** A listed test in one line. */
export function describe(known: KnownRed): string {
  return `${known.file}: ${known.name}`;
}
