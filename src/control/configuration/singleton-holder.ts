/**
 * The committed value of a singleton role. The field names are sent and stored.
 */

/** The committed value of a duty: who holds it, where, and the fence of that term: the number of the change that began it. */
export interface SingletonHolder {
  holder: string;
  at?: string;
  fence: number;
}
