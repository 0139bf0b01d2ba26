/**
 * What the documents point to exists: source files by their path, and other pages.
 */

import { execFileSync } from 'node:child_process';
import { existsSync, readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';

const ROOT = join(__dirname, '..', '..', '..');
const SOURCE_PATH = /\b(?:src|platform|tools|test)\/[\w./-]+?\.ts\b/g;
const PAGE_PATH = /\]\(([\w./-]+\.md)\)|`((?:docs\/)?[\w./-]+\.md)`/g;
/** The form of a line of KNOWN-RED.txt, told by an example. */
const EXAMPLE = 'test/FOLDER/NAME.test.ts';
/** A page of the project's users, which stands beside the repository. */
const PAGES_OF_USERS = /^(PAPER-|BRIEF-|DESIGN-)/;

function documents(): string[] {
  const files = execFileSync('git', ['ls-files', '*.md'], { cwd: ROOT, encoding: 'utf8' });
  return files.split('\n').filter(isDocument);
}

function isDocument(file: string): boolean {
  return file !== '' && !file.startsWith('journal/');
}

function pathsIn(text: string): string[] {
  return [...text.matchAll(SOURCE_PATH)].map(wholeMatch).filter(isNoExample);
}

function wholeMatch(match: RegExpMatchArray): string {
  return match[0];
}

function isNoExample(path: string): boolean {
  return path !== EXAMPLE;
}

function pointsToSources(): void {
  const missing: string[] = [];
  for (const document of documents())
    for (const path of pathsIn(readFileSync(join(ROOT, document), 'utf8')))
      if (!existsSync(join(ROOT, path))) missing.push(`${document}: ${path}`);
  expect(missing).toEqual([]);
}

function pointsToPages(): void {
  const missing: string[] = [];
  for (const document of documents()) {
    const text = readFileSync(join(ROOT, document), 'utf8');
    for (const [, linked, named] of text.matchAll(PAGE_PATH)) {
      const page = linked ?? named;
      const places = [
        join(ROOT, page),
        join(ROOT, dirname(document), page),
        join(ROOT, 'docs', page),
      ];
      if (!PAGES_OF_USERS.test(page) && !places.some(isThere)) missing.push(`${document}: ${page}`);
    }
  }
  expect(missing).toEqual([]);
}

function isThere(place: string): boolean {
  return existsSync(place);
}

function findsAll(): void {
  expect(documents().length).toBeGreaterThan(15);
  expect(pathsIn('see `src/a.ts` and test/b/c.test.ts.')).toEqual(['src/a.ts', 'test/b/c.test.ts']);
}

describe('the documents', theDocuments);

function theDocuments(): void {
  it('are found, with the paths in them', findsAll);
  it('point to source files that exist', pointsToSources);
  it('point to pages that exist', pointsToPages);
}
