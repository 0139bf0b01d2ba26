/**
 * Reading of text files that a user names.
 */

import { readFileSync } from 'node:fs';
import { Result } from '../errors/errors';
import { tryCatch } from './try-catch';

/** Reads a file whole as UTF-8; its path stands as the error's peer. */
export function readTextFile(step: string, file: string): Result<string> {
  function readText(): string {
    return readFileSync(file, 'utf8');
  }
  return tryCatch(step, file, readText);
}
