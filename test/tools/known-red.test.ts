import { JestFile, JestReport, judgeRun, KnownRed, parseKnownRed } from '../../tools/ci/knownred';

const LISTED: KnownRed = {
  file: 'test/a.test.ts',
  name: 'it holds, always',
  cause: 'a late timer',
  issue: '#7',
};

function fileOf(name: string, tests: Record<string, string>, message = ''): JestFile {
  const assertionResults = [];
  for (const [fullName, status] of Object.entries(tests))
    assertionResults.push({ fullName, status });
  const failed = message !== '' || Object.values(tests).includes('failed');
  const path = `/somewhere/dist/test/${name}.test.js`;
  return { name: path, status: failed ? 'failed' : 'passed', message, assertionResults };
}

function reportOf(...testResults: JestFile[]): JestReport {
  function passed(f: JestFile): boolean {
    return f.status === 'passed';
  }
  return { success: testResults.every(passed), testResults };
}

function readsLines(): void {
  const line = 'test/a.test.ts: it holds, always | a late timer | #7';
  expect(parseKnownRed(`${line}\n\n`)).toEqual({ known: [LISTED], problems: [] });
  expect(parseKnownRed('')).toEqual({ known: [], problems: [] });
  for (const wrong of [
    'it holds | a late timer | #7',
    'test/a.test.ts: it holds | a late timer',
    'test/a.test.ts: it holds | a late timer | ',
    'test/a.test.ts: it holds | a late timer | #7 | more',
  ])
    expect(parseKnownRed(wrong)).toEqual({
      known: [],
      problems: [`not of the form FILE: NAME | CAUSE | ISSUE: ${wrong}`],
    });
}

function takesThree(): void {
  const line = 'test/a.test.ts: it holds | a late timer | #7\n';
  expect(parseKnownRed(line.repeat(3)).problems).toEqual([]);
  expect(parseKnownRed(line.repeat(4)).problems).toEqual(['4 tests are listed, 3 may be']);
}

function passesOver(): void {
  const red = fileOf('a', { 'it holds, always': 'failed', 'it stands': 'passed' });
  expect(judgeRun(reportOf(red), [LISTED])).toEqual([]);
  expect(judgeRun(reportOf(fileOf('a', { 'it stands': 'passed' })), [])).toEqual([]);
}

function tellsOthers(): void {
  const red = fileOf('a', { 'it holds, always': 'failed', 'it stands': 'failed' });
  expect(judgeRun(reportOf(red), [LISTED])).toEqual(['fails: test/a.test.ts: it stands']);
  const same = fileOf('b', { 'it holds, always': 'failed' });
  expect(judgeRun(reportOf(fileOf('a', { 'it holds, always': 'failed' }), same), [LISTED])).toEqual(
    ['fails: test/b.test.ts: it holds, always'],
  );
  const unread = fileOf('c', {}, 'no such module');
  expect(judgeRun(reportOf(unread), [])).toEqual(['did not run: test/c.test.ts: no such module']);
  expect(judgeRun({ success: false, testResults: [fileOf('a', { x: 'passed' })] }, [])).toEqual([
    'jest failed although no test did',
  ]);
}

function wantsItRed(): void {
  const listed = 'test/a.test.ts: it holds, always';
  const green = fileOf('a', { 'it holds, always': 'passed' });
  expect(judgeRun(reportOf(green), [LISTED])).toEqual([
    `is listed but passes, take it off the list: ${listed}`,
  ]);
  const skipped = fileOf('a', { 'it holds, always': 'pending' });
  expect(judgeRun(reportOf(skipped), [LISTED])).toEqual([`is listed but was not run: ${listed}`]);
  expect(judgeRun(reportOf(fileOf('b', {})), [LISTED])).toEqual([
    `is listed but not there: ${listed}`,
  ]);
}

test('a list has one test a line, with its cause and issue', readsLines);
test('a list of more than three tests is refused', takesThree);
test('a listed test may fail', passesOver);
test('any other test that fails is told, and so is a file that did not run', tellsOthers);
test('a listed test that passes, is skipped or is gone is told', wantsItRed);
