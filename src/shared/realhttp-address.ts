/** The parts of an address of the form HOST:PORT. */
export function splitAddress(at: string): { host: string; port: number } {
  const i = at.lastIndexOf(':');
  return { host: at.slice(0, i), port: Number(at.slice(i + 1)) };
}
