/**
 * What the command line writes: text, or JSON where that is asked for.
 */

/** How commands write and fail. */
export interface Console {
  /** Writes a value as JSON, or the text that stands for it. */
  print: (value: unknown, text: string) => void;
  /** Writes to standard error and ends the program. */
  fail: (exitCode: number, text: string) => never;
}

/** Makes the console of a program; `isJson` is asked at each line, since options are read after commands are defined. */
export function makeConsole(isJson: () => boolean): Console {
  function print(value: unknown, text: string): void {
    process.stdout.write((isJson() ? JSON.stringify(value, null, 2) : text) + '\n');
  }

  function fail(exitCode: number, text: string): never {
    process.stderr.write(`plumhollow: ${text}\n`);
    return process.exit(exitCode);
  }

  return { print, fail };
}
