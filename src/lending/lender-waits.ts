/**
 * A lender answers after so long at the latest, in milliseconds, with a connection or without: some ten statements. A dead one is told from one that waits
 * by that, and another lender's connections may have come free meanwhile.
 */
export const LENDER_WAIT_MS = 120;

/** Beyond that wait, in milliseconds, for the way there and back: some hundred times the way within a zone. */
export const LENDER_WAY_MS = 130;
