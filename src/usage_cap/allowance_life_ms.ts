/**
 * Milliseconds after its request until which an allowance may be used. It covers a round trip to another
 * region and a busy event loop; a longer life would have to be taken from what lenders may lend in a window.
 */
export const allowanceLifeMs = 500;
