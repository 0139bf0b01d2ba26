/**
 * The committed value of a singleton role. The field names are sent and stored.
 */

/** Who holds a singleton role, at which address, and the fencing token of the holder: the number of the change by which it acquired the role. */
export interface SingletonHolder {
  holder: string;
  at?: string;
  fence: number;
}
